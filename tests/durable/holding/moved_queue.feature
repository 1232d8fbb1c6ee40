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

  # Guards against 0 pending jobs being told while accepted ones wait in the queue's former service.
  Scenario: jobs that wait in the former service count as pending
    Given 3 jobs of the queue are accepted by "ledger", which has room for 2 of them
    When a caller asks how many jobs of the queue are pending, once it is sent to "annex"
    Then the number of pending jobs is 1

  Scenario: the number of pending jobs isn't told before the stored divisions are listed
    Given 3 jobs of the queue are accepted by "ledger", which has room for 2 of them
    And the daemon hasn't listed the stored divisions
    When a caller asks how many jobs of the queue are pending, once it is sent to "annex"
    Then the number of pending jobs isn't known
