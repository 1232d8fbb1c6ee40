Feature: Clients that don't behave can't end a daemon, and don't keep it from ordinary callers

  Scenario Outline: the daemon outlives <count> clients at its <port> port that send <stream>
    Given a platform daemon with 96 MB of memory and 256 descriptors
    When <count> clients at its <port> port send <stream>
    Then an ordinary caller of the platform is answered
    And the daemon lives, within its memory and its descriptors

    Examples:
      | count | port    | stream                                     |
      | 400   | callers | nothing                                    |
      | 100   | callers | a head of many short lines, and no body    |
      | 100   | callers | a head of many short lines that never ends |
      | 20    | callers | 17 requests with many short lines          |
      | 50    | callers | a head over the limit in short lines       |
      | 50    | callers | a head over the limit in one line          |
      | 50    | callers | a target without end                       |
      | 50    | callers | empty lines without end                    |
      | 10    | callers | trailers without end in short lines        |
      | 50    | callers | trailers without end in one line           |
      | 50    | callers | a chunk extension without end              |
      | 350   | callers | a body of 262,144 bytes without its last   |
      | 400   | ready   | nothing                                    |
      | 100   | ready   | a head of many short lines, and no body    |
      | 10    | ready   | trailers without end in short lines        |
      | 400   | metrics | nothing                                    |
      | 100   | metrics | a head of many short lines, and no body    |
      | 10    | metrics | trailers without end in short lines        |
      | 400   | peer    | nothing                                    |
      | 50    | peer    | bytes without sense                        |
      | 50    | peer    | a head over the limit in one line          |
      | 50    | callers | 20,000 small requests                      |
      | 50    | metrics | 20,000 small requests for the metrics      |

  Scenario Outline: a single request with <stream> is served in calm
    Given a platform daemon with 96 MB of memory and 256 descriptors
    When a caller submits a job with <stream>
    Then the platform job is accepted

    Examples:
      | stream                         |
      | many short header lines        |
      | trailers behind a chunked body |
      | a body of 262,000 bytes        |
