Feature: A home repeats itself to a holder only where something may have been lost

  Background:
    Given a home whose holder is another daemon

  Scenario: Nothing waits and nothing changes
    When 23 s pass with a decision every 0.05 s
    Then 7 updates went to the holder, all with the slots in use

  Scenario: A task that waits is told again each second
    When 4 s pass with a decision every 0.05 s
    And a task comes to wait at the home
    And 3.5 s pass with a decision every 0.05 s
    Then the holder was told of the task at least 4 times

  Scenario: A holder that was out of reach gets a report at once
    When 7 s pass with a decision every 0.05 s
    And the holder is out of reach for 0.1 s
    And 0.1 s pass with a decision every 0.05 s
    Then 5 updates went to the holder, all with the slots in use
