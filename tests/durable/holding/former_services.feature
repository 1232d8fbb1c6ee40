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

  # Guards against former services that cost writes, heartbeats and questions for good.
  Scenario: a former service is let go once it has no jobs
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    When it serves for 1 s after job "j1" has ended, and lets go of unused groups after 0.3 s
    Then the claim on "ledger" is released, and it holds "annex" only
    And a cancel of a job that nobody has asks no holder of "ledger"
    And a late copy of a write under the former claim fails

  Scenario: a former service with a job isn't let go
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    When it serves for 1 s while job "j1" runs, and lets go of unused groups after 0.3 s
    Then it holds "annex" and "ledger"

  Scenario: a service that was let go is configured again
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    When it serves for 1 s after job "j1" has ended, and lets go of unused groups after 0.3 s
    And its configuration names "ledger" again
    Then job "j2" of "ledger" is accepted and ends

  Scenario: a service is configured again while its group is let go
    Given a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"
    And its configuration names "ledger" again while the claim on it is released
    When it serves for 1 s after job "j1" has ended, and lets go of unused groups after 0.3 s
    Then job "j2" of "ledger" is accepted and ends

  Scenario: a hundred services that were let go cost a starting daemon two reads
    Given a daemon whose configuration names "annex" only, and 100 former services that were let go
    When it serves for 2 s
    Then it holds "annex" only
    And it has read one page each of divisions, claims and open jobs, and no key of a former service
    And a cancel of a job that nobody has asks the holder of "annex" only

  Scenario Outline: the release of a group is heard
    Given a daemon that holds nothing, whose configuration names <services>
    When it hears the holder of "reserve", and that it has released its claim
    Then it <tracks> the group "reserve"
    When it hears another holder of "reserve"
    Then it tracks the group "reserve"

    Examples:
      | services            | tracks        |
      | "annex"             | doesn't track |
      | "annex" and "reserve" | tracks      |
