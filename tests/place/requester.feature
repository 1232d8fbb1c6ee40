Feature: A home repeats its reports to a holder only where a message may have been lost

  Background:
    Given a home whose holder is another daemon

  Scenario: Nothing waits and nothing changes
    When 23 s pass with a flush every 0.05 s
    Then 7 updates were sent to the holder, all with the slots in use

  Scenario: The demand for a waiting task is repeated every second
    When 4 s pass with a flush every 0.05 s
    And a task starts to wait at the home
    And 3.5 s pass with a flush every 0.05 s
    Then the holder received demand for the task at least 4 times

  Scenario: A holder that was unreachable gets a report at once
    When 7 s pass with a flush every 0.05 s
    And the holder is unreachable for 0.1 s
    And 0.1 s pass with a flush every 0.05 s
    Then 5 updates were sent to the holder, all with the slots in use
