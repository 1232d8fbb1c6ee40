Feature: A request is refused as not run only if its job isn't stored

  Background:
    Given a daemon that holds the groups of the services "ledger" and "annex"

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
