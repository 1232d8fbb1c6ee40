Feature: The metrics tell why a job failed

  Scenario: runs of a task failed
    Given a group of 3 endpoints whose runs take 0.02 s
    And every run of job "a" fails
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 1 job has failed because of "failed_runs"

  Scenario: endpoints rejected the orders
    Given a group of 4 endpoints whose runs take 0.02 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 1 job has failed because of "rejected_orders"

  Scenario: a task crashed its endpoints
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "a" crashes the endpoints that start it, which are back after 1.6 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 1 job has failed because of "crashes"
