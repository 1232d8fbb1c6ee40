Feature: A new holder learns from all entry daemons for which best-effort jobs callers wait

  Scenario Outline: how long the holder waits for an entry daemon, on a clock of its own
    Given an entry daemon <daemon>
    When the holder asks it and itself for which jobs of a group callers wait
    Then it learns of <jobs> after <time> s

    Examples:
      | daemon                                             | jobs                 | time     |
      | that tells at once                                 | its own and "other"  | 0 to 0.1 |
      | that tells after 0.8 s                             | its own and "other"  | 0.8 to 1.2 |
      | that is silent for 0.9 s, heard, and then tells    | its own and "other"  | 1 to 2   |
      | that isn't heard any more                          | its own              | 1 to 1.5 |
      | that isn't heard any more, as its port refuses     | its own              | 0 to 0.1 |
      | that is suspect, and has a stream, and then tells  | its own and "other"  | 1 to 2   |
      | of a version that can't be asked                   | its own              | 0.2 to 0.3 |
      | with too many calls to tell                        | nothing              | 0 to 0.1 |

  Scenario: an entry daemon tells of its calls for a group until they have ended
    Given an entry daemon with a call for job "a" of group "g1", and one for "b" of group "g2"
    Then it tells of "a" when asked about group "g1"
    When its call for job "a" moves to group "g2"
    Then it tells of "a, b" when asked about group "g2"
    When its call for job "a" has ended
    Then it tells of "b" when asked about group "g2"
