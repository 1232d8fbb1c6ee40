Feature: A home divides its waiting tasks so that each costs least

  Background:
    Given a home in "fd-a" with holders in "fd-a" and "fd-b"

  Scenario: A task goes to the holder with the faster free slot
    Given the holder in "fd-a" told costs of "0.4, 0.4"
    And the holder in "fd-b" told costs of "0.1, 0.1"
    When 1 task waits
    Then 0 tasks are asked for in "fd-a" and 1 in "fd-b"

  Scenario: Tasks asked for since count, so that they don't all go to one holder
    Given the holder in "fd-a" told costs of "0.1, 0.2, 0.3, 0.4"
    And the holder in "fd-b" told costs of "0.1, 0.2, 0.3, 0.4"
    When 6 tasks wait
    Then 3 tasks are asked for in "fd-a" and 3 in "fd-b"

  Scenario: Its own failure domain goes first where nothing is gained elsewhere
    Given the holder in "fd-a" told costs of "0.1, 0.2"
    And the holder in "fd-b" told costs of "0.1, 0.2"
    When 1 task waits
    Then 1 task is asked for in "fd-a" and 0 in "fd-b"

  Scenario: Waiting tasks move to a holder whose slots have become cheaper
    Given the holder in "fd-a" told costs of "0.1, 0.2, 0.3, 0.4"
    And the holder in "fd-b" told costs of "0.9, 0.9, 0.9, 0.9"
    When 4 tasks wait
    And the holder in "fd-b" tells costs of "0.1, 0.1, 0.1, 0.1"
    Then 0 tasks are asked for in "fd-a" and 4 in "fd-b"

  Scenario: A holder tells with each grant what the next tasks would cost
    Given a holder of endpoints with 2 slots that take 0.1 s and 1 slot that takes 0.4 s
    When a home asks for 1 slot
    Then the grant tells costs of "0.1, 0.4"

  Scenario: A holder whose endpoint leaves tells idle homes that nothing waits there any more
    Given a holder of endpoints with 2 slots that take 0.1 s and 1 slot that takes 0.4 s
    And the holder in "fd-b" told costs of "0.1, 0.1"
    When a home asks for 60 slots
    And every endpoint says that it is leaving
    And the home's tasks have gone elsewhere
    Then the home expects no wait for 2 tasks
