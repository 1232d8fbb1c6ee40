Feature: A task that crashes the endpoints that start it is given up, and only that task

  Scenario: a task that crashes its endpoints takes no third endpoint down
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "a" crashes the endpoints that start it, which are back after 2.5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 2 endpoint processes have crashed

  Scenario: a durable task that crashes its endpoints takes no third endpoint down
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 2.5 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "failed" within 7 s
    And the store holds the outcome of job "k" and not the job
    And 2 endpoint processes have crashed

  Scenario: a task crashes endpoints that come back under another identifier
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "a" crashes the endpoints that start it, which are back after 2.5 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 2 endpoint processes have crashed

  Scenario: a neighbour of a task that crashes its endpoints is done
    Given a group of 3 endpoints whose runs take 0.4 s
    And job "a" crashes the endpoints that start it, which are back after 2.5 s
    When a holder with fence 16 takes over
    And job "b" of 2 tasks is submitted
    And job "a" of 1 task is submitted
    Then job "b" ends as "completed"
    And job "a" ends as "failed"
    And 2 endpoint processes have crashed

  Scenario: a job that crashed its endpoints and comes again is answered at once
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "a" crashes the endpoints that start it, which are back after 2.5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    When job "a" of 1 task is submitted again
    Then job "a" ends as "failed" within 0.5 s
    And 2 endpoint processes have crashed

  Scenario: crashes under a durable task count after a change of holder
    Given a group of 6 endpoints whose runs take 0.9 s
    And job "k" crashes the endpoints that start it after 0.5 s, which are back after 0.4 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 endpoint process has crashed and its crash is stored with job "k"
    And a holder with fence 32 takes over
    Then durable job "k" is shown as "failed" within 7 s
    And 2 endpoint processes have crashed

  Scenario: a task whose endpoints are cut off one after the other is not given up
    Given a group of 3 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" is cut off for 2.5 s
    And the endpoint that runs job "k" is cut off for 2.5 s
    Then durable job "k" is shown as "completed" within 7 s
    And no task of job "k" ran twice at the same time

  Scenario: a job whose processes end twice at one address is done
    Given a group of 1 endpoint whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 0.5 s
    And job "k" crashes each of them 2 times at most
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 12 s
    And 2 endpoint processes have crashed

  Scenario: a job isn't kept from all endpoints until the long tasks of suspected jobs have ended
    Given time is simulated
    And a group of 3 endpoints whose runs take 20 s
    When a holder with fence 16 takes over
    And durable job "a" of 1 task is submitted
    And durable job "b" of 1 task is submitted
    And durable job "c" of 1 task is submitted
    And 1 s have passed
    And the endpoint that runs jobs "a b c" crashes and is back after 0.3 s
    And durable job "d" of 1 task is submitted
    Then job "d" has begun within 3 s
