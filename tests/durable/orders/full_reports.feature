Feature: Endpoints get no more durable tasks than they can list the ends of while these stay unstored

  Scenario: durable tasks wait, and best-effort jobs go on
    Given a group of 1 endpoint whose runs take 0.01 s
    And endpoints list at most 4 ends in a complete report
    When a holder with fence 16 takes over
    And durable job "a" of 6 tasks is submitted
    And the job store is unavailable
    And 0.6 s have passed
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed"
    And at most 2 runs of job "a" were started
    When the job store is available again
    Then durable job "a" is shown as "completed" within 10 s
    And 6 runs of job "a" were started

  Scenario: durable tasks go to endpoints that can list their ends
    Given a group of 3 endpoints whose runs take 0.01 s
    And endpoints list at most 4 ends in a complete report
    When a holder with fence 16 takes over
    And durable job "a" of 6 tasks is submitted
    And the job store is unavailable
    And 6 runs of job "a" have ended
    Then each endpoint has started 2 runs
    When the job store is available again
    Then durable job "a" is shown as "completed" within 10 s

  Scenario: durable jobs whose ends can't be listed don't hold others back
    Given a group of 1 endpoint whose runs take 0.2 s
    And endpoints list at most 4 ends in a complete report
    When a holder with fence 16 takes over
    And 40 durable jobs of 1 task are submitted
    And the job store is unavailable
    And 0.6 s have passed
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed"

  Scenario: progress is stored before its ends keep tasks away
    Given a group of 1 endpoint whose runs take 0.01 s
    And endpoints list at most 8 ends in a complete report
    And progress isn't stored for its age alone
    When a holder with fence 16 takes over
    And durable job "a" of 12 tasks is submitted
    Then durable job "a" is shown as "completed" within 10 s
    And 12 runs of job "a" were started
