Feature: A request stays one job when its queue has moved to another service meanwhile

  Background:
    Given a daemon that holds the groups of the services "ledger" and "annex"

  Scenario: a request that arrives again while its job runs in the former service starts nothing
    When job "j1" is submitted to "ledger", and once its tasks run to "annex"
    Then both submissions are accepted
    And each task of job "j1" has started once

  Scenario: a request that arrives again after its job has ended in the former service starts nothing
    When job "j1" is submitted to "ledger", and once it has ended to "annex"
    Then both submissions are accepted
    And each task of job "j1" has started once

  Scenario: daemons with the old and the new configuration submit a request at once
    When job "j1" is submitted to "ledger" and to "annex" at once
    Then both submissions are accepted
    And each task of job "j1" has started once

  Scenario: a cancel reaches the job in the former service
    When job "j1" is submitted to "ledger", and once its tasks run to "annex"
    And a caller of "annex" cancels job "j1"
    Then the job is cancelled, and no run of it is left

  Scenario: a cancel reaches the job in the former service after a write at the new one was lost
    When job "j1" is submitted to "ledger", and once its tasks run to "annex" with a lost first write
    And a caller of "annex" cancels job "j1"
    Then the job is cancelled, and no run of it is left

  Scenario: other jobs are accepted by both services
    When job "j1" is submitted to "ledger" and job "j2" to "annex"
    Then both submissions are accepted
    And each task of job "j1" has started once
    And each task of job "j2" has started once

  Scenario Outline: a request whose job is stored isn't refused for want of room when it arrives again
    Given the holder of "annex" has no room for any job
    When job "j1" is submitted to "ledger", and once <moment> to "annex"
    Then both submissions are accepted
    And each task of job "j1" has started once

    Examples:
      | moment         |
      | its tasks run  |
      | it has ended   |

  Scenario: a request whose job isn't stored is refused for want of room
    Given the holder of "annex" has no room for any job
    When job "j1" is submitted to "annex"
    Then it is refused as not run, to be sent again after 2 s

  Scenario Outline: a request is refused by a holder without the store only if its job isn't stored
    Given the holder of "annex" is a provisional one
    And job "j1" is <record> stored for "annex"
    When job "j1" is submitted to "annex"
    Then <answer>

    Examples:
      | record  | answer                                    |
      | already | it is accepted                            |
      | not     | it is refused as not run, for the present |

  Scenario: nothing is said of a request for which there is no room while its job may be stored
    Given the holder of "annex" has no room for any job
    And the store doesn't answer reads of single keys
    When job "j1" is submitted to "annex"
    Then it isn't known whether the job is stored
