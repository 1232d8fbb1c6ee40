Feature: What an endpoint's report doesn't list proves nothing unless the report is complete

  Scenario: a task whose end stands behind those that a report lists isn't started again
    Given a group of 1 endpoint whose runs take 0.05 s
    And reports list at most 3 ends
    When a holder with fence 16 takes over
    And durable job "a" of 6 tasks is submitted
    And the job store is unavailable
    And 0.6 s have passed
    And the job store is available again
    Then durable job "a" is shown as "completed" within 10 s
    And each task of job "a" was done once
    And 6 runs of job "a" were started

  Scenario: an order without an answer isn't repeated if the end of its run isn't listed
    Given a group of 1 endpoint whose runs take 0.001 s
    And reports list at most 3 ends
    When a holder with fence 16 takes over
    And durable job "a" of 6 tasks is submitted
    And the job store is unavailable
    And the answers of the next 6 starts are lost
    And 0.6 s have passed
    And the job store is available again
    Then durable job "a" is shown as "completed" within 10 s
    And each task of job "a" was done once
    And 6 runs of job "a" were started

  Scenario: a new holder starts no task whose end the first report doesn't list
    Given a group of 1 endpoint whose runs take 0.2 s
    And reports list at most 2 ends
    When a holder with fence 16 takes over
    And durable job "a" of 3 tasks is submitted
    And the holder with fence 16 ends once 3 runs of job "a" were started
    And a holder with fence 32 takes over after 0.3 s
    Then durable job "a" is shown as "completed" within 10 s
    And each task of job "a" was done once
    And 3 runs of job "a" were started

  Scenario: a task whose run may be in a row that can't be read starts elsewhere after the lease
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    And no row in the reports of endpoint 1 can be read from now on
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: a new holder starts no task that may be in a row that can't be read
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    And no row in the reports of endpoint 1 can be read from now on
    And a holder with fence 32 takes over after 0.1 s
    And job "a" of 4 tasks is submitted again
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time
