Feature: No owner is billed for work it never received

  Scenario: The answer to a write of the counts is lost
    Given a usage recorder with 3 answered tasks of "alder"
    When the answer to the next write is lost
    And the usage is recorded
    And 2 more tasks of "alder" are answered
    And the usage is recorded
    Then the sum over all reports is 5 tasks of "alder"

  Scenario: The answer is lost and the store becomes unavailable at once
    Given a usage recorder with 3 answered tasks of "alder"
    When the answer to the next write is lost and the store becomes unavailable
    And the usage is recorded
    And the usage store is available again
    And the usage is recorded
    Then the sum over all reports is 3 tasks of "alder"

  Scenario: Two incarnations of a daemon are added up
    Given a usage recorder with 3 answered tasks of "alder"
    When the usage is recorded
    And the daemon restarts
    And 4 more tasks of "alder" are answered
    And the usage is recorded
    Then the sum over all reports is 7 tasks of "alder"

  Scenario: An unreadable report is not left out silently
    Given a usage recorder with 3 answered tasks of "alder"
    When a report that can't be decoded is written
    Then adding up the reports fails with code "usage_report_invalid"

  Scenario: What the store counts is what the endpoints have answered
    Given a cluster of daemons in "fd-a, fd-a, fd-b" and endpoints of speeds "1, 4" in each failure domain
    When a job of 60 tasks of 0.02 to 0.05 s with seed 4 is submitted to each daemon under its own id
    And all daemons but the last are stopped as planned
    Then the recorded usage of the stopped daemons equals the tasks that their endpoints have ended
    And berylctl reports the same number of tasks
