Feature: Accepted records come into force everywhere without the store
  Background:
    Given a record store with a pool "oak"
    And a records daemon "a"
    And records daemon "a" has pool "oak" in force

  Scenario: An accepted change is in force at the others in the same step
    Given only records daemons "b" and "c" without background tasks
    And records daemon "b" alone has pool "ash"
    When records daemon "b" applies pool "elm"
    Then records daemon "b" still has pool "elm" in force
    And records daemon "c" still has pool "elm" in force

  Scenario: The store becomes unavailable right after it accepted a change
    Given a records daemon "b" that cannot reach the store
    When records daemon "a" applies pool "elm" and the store becomes unavailable at once
    Then records daemon "b" has pool "elm" in force

  Scenario: A missed notification shows in the digest
    Given a records daemon "b" that cannot reach the store
    And records daemon "b" has pool "oak" in force
    When records daemon "a" applies pool "elm" unannounced and then pool "ash"
    Then records daemon "b" has pool "elm" in force
    And records daemon "b" has pool "ash" in force

  Scenario: A missed deletion shows in the digest
    Given a records daemon "b" that cannot reach the store
    And records daemon "b" has pool "oak" in force
    When records daemon "a" deletes pool "oak" and the notification is lost
    Then records daemon "b" has no pool "oak"

  Scenario: A daemon restarted during an outage loads its view from a peer in chunks
    Given records daemon "a" applied 60 more pools
    And the record store is unavailable
    When a records daemon "b" starts
    Then records daemon "b" has 61 pools in force
    And records daemon "b" is "loaded" from "peer"
    And the peers' record messages were several, each below 2000 bytes

  Scenario: Only what differs is fetched
    Given records daemon "a" applied 60 more pools
    And a records daemon "b" that cannot reach the store
    And records daemon "b" has 61 pools in force
    When records daemon "a" applies pool "elm" and the notification is lost
    Then records daemon "b" has pool "elm" in force
    And the last record fetch carried at most 5 records

  Scenario: A difference that fetching does not settle is not fetched again
    Given only records daemons "b" and "c" without background tasks
    And records daemon "b" alone has pool "elm"
    When records daemon "b" compares the digests 10 times
    Then 1 record fetch was made
    When records daemon "c" compares the digests 1 times
    Then 1 record fetch was made
    When records daemon "c" compares the digests 10 times
    Then 2 record fetches were made
    And records daemon "c" has pool "elm" in force

  Scenario: Without store and peer a daemon says that it is not ready
    Given the record store is unavailable
    And no other records daemon runs
    When a records daemon "b" starts
    Then records daemon "b" changes to the state "no_configuration_source"
    When the record store is available again
    Then records daemon "b" has pool "oak" in force
    And records daemon "b" is "loaded" from "store"

  Scenario: A daemon without a view is no source for another
    Given the record store is unavailable
    And no other records daemon runs
    When records daemons "b" and "c" start
    Then records daemon "b" changes to the state "no_configuration_source"
    And records daemon "c" changes to the state "no_configuration_source"
    And 0 record fetches were made

  Scenario Outline: An invalid answer from a peer does not load the view
    Given only records daemon "b" that has loaded nothing
    And a records daemon "d" whose peers receive <answer>
    When records daemon "b" compares the digests 1 times
    Then records daemon "b" has loaded nothing after <count> requests

    Examples:
      | answer                     | count |
      | an answer without a view   | 1     |
      | the same chunk again       | 2     |
      | something else             | 1     |

  Scenario: A record whose deletion one peer may have forgotten is not accepted from another
    Given records daemon "a" has forgotten deletions up to revision 90
    And a records daemon "b" that cannot reach the store
    And records daemon "b" has pool "oak" in force
    When records daemon "b" is sent pool "elm" at revision 50 by a peer
    Then records daemon "b" still has no pool "elm"
    When records daemon "b" is sent pool "ash" at revision 91 by a peer
    Then records daemon "b" still has pool "ash" in force

  Scenario Outline: Malformed messages change nothing
    When records daemon "a" is notified of the items <items>
    Then the record notification is refused and changes nothing

    Examples:
      | items                                                    |
      | null                                                     |
      | [["berylproxy/records/pools/x", "text", 9]]              |
      | [["berylproxy/records/pools/x", "bytes", 0]]             |
      | [["other/pools/x", "bytes", 9]]                          |
      | [["berylproxy/records/pools/x", "bytes", 9], [1]]        |

  Scenario: A malformed request is refused
    Then records daemon "a" refuses requests for records with wrong fields
