Feature: A stand-in of a runner tells which ends its holder has taken note of

  # Guards against a check of restarted tasks that overlooks them, or counts what the rules allow.
  Scenario Outline: an end is taken note of unless the lease has lapsed before
    Given a runner whose lease lasts 0.2 s from the start of a run that takes 0.05 s
    When <then> and its end is acknowledged
    Then the end is <noted>

    Examples:
      | then                                                   | noted            |
      | 0.1 s pass                                             | taken note of    |
      | 0.1 s pass, the lease is extended by 1 s, 0.4 s pass   | taken note of    |
      | 0.4 s pass                                             | not taken note of |
      | 0.4 s pass, the lease is extended by 1 s               | not taken note of |

  Scenario: a task that starts after an end that was taken note of is found
    Given runs of tasks "a", "b" and "c" that were done, and the ends of "a" and "b" were taken note of
    When tasks "a" and "c" start again
    Then task "a" has been restarted
