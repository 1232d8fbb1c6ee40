Feature: The soak finds what was promised and not kept

  Scenario Outline: each promise is seen to be broken
    Given a job of 1 task that was <told> and whose runs were <runs>
    When the soak is judged
    Then <finding> is found

    Examples:
      | told                                     | runs                       | finding                                   |
      | answered 200 completed                   | 1 to 2 done                | nothing                                   |
      | answered 200 completed                   | 1 to 3 done, 2 to 4 done   | "was still there"                         |
      | answered 200 completed                   | 1 to 2 killed, 2 to 3 done | nothing                                   |
      | answered 200 completed                   | 1 to 2 failed              | "completed by d0 with 0 of 1 done"        |
      | answered 200 cancelled                   | 1 to 2 stopped             | "answered 200 as 'cancelled'"             |
      | answered 503                             | none                       | nothing                                   |
      | answered 503                             | 1 to 2 done                | "refused as not run"                      |
      | answered 500                             | none                       | "answered 500"                            |
      | broken off by a daemon that lived        | 1 to 2 done                | "broke the request off"                   |
      | broken off by a daemon that was killed   | 1 to 2 done                | nothing                                   |
      | broken off by a daemon while it stopped  | 1 to 2 done                | "broke the request off"                   |
      | broken off as a daemon's process ended   | 1 to 2 done                | nothing                                   |
      | left without an answer                   | 1 to 2 done                | "did not answer"                          |
      | accepted, kept, and shown as completed   | 1 to 2 done                | nothing                                   |
      | accepted, kept, and shown as 410 by one  | 1 to 2 done                | "shown as ['410', 'completed'] in the end" |

  Scenario: the same seed brings the same faults, and other seeds others
    Then the faults of seed 7 are the same each time, and differ from those of seed 8
    And within 60 seeds each kind of fault comes, some at the same time and some in series
