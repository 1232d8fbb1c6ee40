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

  Scenario Outline: a list whose reading ends early shows nothing as gone
    Given the store lists 2 pages of 2 entries, of which it cuts <cut> short
    When the <reader> reads them
    Then it fails, and what it knew before stays in force

    Examples:
      | cut         | reader              |
      | the second  | list of endpoints   |
      | the second  | operator watch      |
      | the second  | list of members     |
      | the second  | reader of open jobs |
      | the first   | list of endpoints   |
      | the first   | operator watch      |
      | the first   | list of members     |
      | the first   | reader of open jobs |

  Scenario Outline: a list of several pages is read to its end
    Given the store lists 2 pages of 2 entries
    When the <reader> reads them
    Then it knows all 4 entries

    Examples:
      | reader              |
      | list of endpoints   |
      | operator watch      |
      | list of members     |
      | reader of open jobs |

  Scenario: an answer that is no page isn't an empty list
    Given the store answers reads with an empty object
    When the list of endpoints reads them
    Then it fails, and what it knew before stays in force
