Feature: A job with only an idempotency key runs once, whichever daemons it is sent to

  Scenario: The same key is sent to all daemons at once, during a store outage and after the death of its home
    Given a cluster of daemons in "fd-a, fd-a, fd-b" and endpoints of speeds "1, 4" in each failure domain
    When a job of 20 tasks of 0.02 to 0.2 s with seed 5 is sent to all daemons at once under one key
    Then every answer under the key is the same and complete
    And each task under the key was started exactly once
    When other content is sent to daemon 1 under the same key
    Then the answer under the key has status 409 and code "id_reused"
    When the platform's store is unavailable
    And a job of 2 tasks of 0.02 to 0.2 s with seed 6 is sent to daemon 0 under a new key
    Then the answer under the key has status 504 and code "claim_unavailable"
    When the platform's store is available again
    And the job is sent to daemon 1 under the same key again
    Then every answer under the key is the same and complete
    When the home of the key is killed
    And the job is sent to a live daemon under the same key again
    Then the answer under the key has status 504 and code "home_unreachable"
    And each task under the key was started exactly once
