Feature: A new holder knows all endpoints that may run a former holder's tasks

  # Guards against tasks that run twice because a new holder takes endpoints whose group it doesn't
  # know yet for those of another group (review case 11).
  Scenario Outline: endpoints are added while the next holder is on standby, and <what> runs there
    Given 2 groups of 1 endpoint, and a standby daemon with the divisions of before 2 were added
    And <what> of 4 tasks is submitted, some of which run on at an added endpoint
    When a read of the division takes 0.2 s from now on
    And the holder goes before a heartbeat names the runs, and the standby daemon takes over
    Then 3 s later no task has run twice at the same time
    And no task was started again

    Examples:
      | what              |
      | a durable job     |
      | a best-effort job |

  # Guards against the same for endpoints that leave the list before their group is learned.
  Scenario: endpoints are added, and their entries lapse as the holder goes
    Given 2 groups of 1 endpoint, and a standby daemon with the divisions of before 2 were added
    And the standby daemon has read the list since
    And a durable job of 4 tasks is submitted, some of which run on at an added endpoint
    When the entries of the added endpoints lapse
    And a read of the division takes 0.2 s from now on
    And the holder goes before a heartbeat names the runs, and the standby daemon takes over
    And the entries of the added endpoints are back 2 s later
    Then 3 s later no task has run twice at the same time

  # Guards against the same for endpoints that the next holder has never read of.
  Scenario: endpoints are added, and their entries lapse before the next holder has read of them
    Given 2 groups of 1 endpoint, and a standby daemon with the divisions of before 2 were added
    And a durable job of 4 tasks is submitted, some of which run on at an added endpoint
    When the entries of the added endpoints lapse
    And the holder goes, whose last heartbeat is of before the job, and the standby daemon takes over
    And the entries of the added endpoints are back 2 s later
    Then 3 s later no task has run twice at the same time
