Feature: A home divides its waiting tasks so that each costs least

  Background:
    Given a home in "fd-a" with holders in "fd-a" and "fd-b"

  Scenario: A task goes to the holder with the faster free slot
    Given the holder in "fd-a" reported costs of "0.4, 0.4"
    And the holder in "fd-b" reported costs of "0.1, 0.1"
    When 1 task waits
    Then 0 tasks are requested in "fd-a" and 1 in "fd-b"

  Scenario: Tasks requested since the last summary count, so that they don't all go to one holder
    Given the holder in "fd-a" reported costs of "0.1, 0.2, 0.3, 0.4"
    And the holder in "fd-b" reported costs of "0.1, 0.2, 0.3, 0.4"
    When 6 tasks wait
    Then 3 tasks are requested in "fd-a" and 3 in "fd-b"

  Scenario: The home's own failure domain is preferred at equal cost
    Given the holder in "fd-a" reported costs of "0.1, 0.2"
    And the holder in "fd-b" reported costs of "0.1, 0.2"
    When 1 task waits
    Then 1 task is requested in "fd-a" and 0 in "fd-b"

  Scenario: Waiting tasks move to a holder whose slots have become cheaper
    Given the holder in "fd-a" reported costs of "0.1, 0.2, 0.3, 0.4"
    And the holder in "fd-b" reported costs of "0.9, 0.9, 0.9, 0.9"
    When 4 tasks wait
    And the holder in "fd-b" reports costs of "0.1, 0.1, 0.1, 0.1"
    Then 0 tasks are requested in "fd-a" and 4 in "fd-b"

  Scenario: Each grant reports what the next tasks would cost
    Given a holder of endpoints with 2 slots that take 0.1 s and 1 slot that takes 0.4 s
    When a home requests 1 slot
    Then the grant reports costs of "0.1, 0.4"

  Scenario: A holder whose endpoints leave reports to idle homes that no task waits there any more
    Given a holder of endpoints with 2 slots that take 0.1 s and 1 slot that takes 0.4 s
    And the holder in "fd-b" reported costs of "0.1, 0.1"
    When a home requests 60 slots
    And every endpoint reports that it is leaving
    And the home's tasks have moved to other holders
    Then the home expects no wait for 2 tasks
