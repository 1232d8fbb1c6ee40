Feature: The jobs of a service stay known after it has left the configuration

  # Guards against accepted jobs that are answered 410 and never run, since their service has left
  # the configuration and all daemons have started since.
  Scenario: a daemon that starts without a service in its configuration runs the service's jobs
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    When it serves until job "j1" has ended
    Then each task of job "j1" has started once
    And callers are told that job "j1" is "completed"

  Scenario: a caller cancels a job of a service that has left the configuration
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    When a caller cancels job "j1" once its tasks run
    Then the job is cancelled, and no run of it is left

  Scenario: a configured service that can't be divided yet delays no former one
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    And its configuration also names "lobby", which has no endpoints
    When it serves until job "j1" has ended
    Then each task of job "j1" has started once

  Scenario: the store is down as a daemon starts without the service in its configuration
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    And the store doesn't list the divisions for 0.3 s
    When it serves until job "j1" has ended
    Then each task of job "j1" has started once

  Scenario Outline: a service that came and left unseen is found
    Given a daemon that has listed the stored divisions before "reserve" was divided
    When <sign>
    Then within 3 s it tracks the groups of "reserve"

    Examples:
      | sign                                                  |
      | it hears the holder of "reserve"                      |
      | it gets a version of the configuration without it     |

  Scenario: heartbeats of a group whose division can't be read cost one list of the divisions
    Given a daemon that has listed the stored divisions before "reserve" was divided
    And the division of "reserve" is unreadable
    When it hears the holder of "reserve" 30 times in 3 s
    Then it has listed the divisions twice
