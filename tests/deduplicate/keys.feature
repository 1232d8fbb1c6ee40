Feature: A caller that brings only its own key through any daemon is served once

  Scenario: The same key meets all daemons at once, a store outage, and the death of its home
    Given a cluster of daemons in "fd-a, fd-a, fd-b" and endpoints of speeds "1, 4" in each failure domain
    When a job of 20 tasks of 0.02 to 0.2 s with seed 5 is sent to all daemons at once under one key
    Then every answer under the key is the same and whole
    And each task under the key was started exactly once
    When other content is sent to daemon 1 under the same key
    Then the answer under the key has status 409 and code "id_reused"
    When the platform's store is out
    And a job of 2 tasks of 0.02 to 0.2 s with seed 6 is sent to daemon 0 under a new key
    Then the answer under the key has status 504 and code "claim_unavailable"
    When the platform's store is back
    And the job is sent to daemon 1 under the same key again
    Then every answer under the key is the same and whole
    When the home of the key is killed
    And the job is sent to a living daemon under the same key again
    Then the answer under the key has status 504 and code "home_unreachable"
    And each task under the key was started exactly once
