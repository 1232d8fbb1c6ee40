Feature: The soak reports violated guarantees

  Scenario Outline: each violated guarantee is reported
    Given a job of 1 task that was <outcome> and whose runs were <runs>
    When the guarantees of the soak are checked
    Then <finding> is reported

    Examples:
      | outcome                                    | runs                             | finding                                        |
      | answered 200 completed                     | 1 to 2 done                      | nothing                                        |
      | answered 200 completed                     | 1 to 3 done, 2 to 4 done         | "was still running"                            |
      | answered 200 completed                     | 1 to 2 killed 3, 2 to 3 done     | nothing                                        |
      | answered 200 failed                        | 1 to 2 killed 3, 3 to 4 killed 4 | nothing                                        |
      | answered 200 failed                        | 1 to 2 killed 3, 3 to 4 killed 3 | "answered 200 as 'failed'"                     |
      | answered 200 failed                        | 1 to 2 killed 3, 3 to 4 done     | "answered 200 as 'failed'"                     |
      | accepted, durable, and shown as failed     | 1 to 2 killed 3, 3 to 4 killed 4 | nothing                                        |
      | accepted, durable, and shown as failed     | 1 to 2 killed 3, 3 to 4 killed 3 | "reported as ['failed'] in the end"            |
      | accepted, durable, and shown as failed     | 1 to 2 done                      | "reported as ['failed'] in the end"            |
      | answered 200 completed                     | 1 to 2 failed                    | "reported as completed by d0 with 0 of 1 done" |
      | answered 200 cancelled                     | 1 to 2 stopped                   | "answered 200 as 'cancelled'"                  |
      | answered 503                               | none                             | nothing                                        |
      | answered 503                               | 1 to 2 done                      | "refused as not run"                           |
      | answered 500                               | none                             | "answered 500"                                 |
      | broken off by a running daemon             | 1 to 2 done                      | "closed the connection during a request"       |
      | broken off by a daemon that was killed     | 1 to 2 done                      | nothing                                        |
      | broken off by a daemon while it stopped    | 1 to 2 done                      | "closed the connection during a request"       |
      | broken off as a daemon's process ended     | 1 to 2 done                      | nothing                                        |
      | left without an answer                     | 1 to 2 done                      | "did not answer"                               |
      | accepted, durable, and shown as completed  | 1 to 2 done                      | nothing                                        |
      | accepted, durable, and shown as 410 by one | 1 to 2 done                      | "reported as ['410', 'completed'] in the end"  |

  Scenario: the same seed gives the same faults, and another seed gives others
    Then the faults of seed 7 are the same each time, and differ from those of seed 8
    And 60 seeds inject each kind of fault, some at the same time and some in series
