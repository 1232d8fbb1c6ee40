Feature: Whether the platform's store counts as reachable

  Scenario: a watch that began before the store failed ends
    Given a client of the platform's store that watches for changes
    When the store refuses two calls
    And the watch ends without changes
    Then the store counts as not reachable
    When the store answers a call
    Then the store counts as reachable

  Scenario: a watch that began after the store failed ends
    Given a client of the platform's store
    When the store refuses two calls
    And the client watches for changes
    And the watch ends without changes
    Then the store counts as reachable
