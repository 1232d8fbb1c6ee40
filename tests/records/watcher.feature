Feature: The view follows the store and rejects a store that was rolled back
  Background:
    Given a record store with a pool "oak"
    And a records daemon "a" without a network
    And records daemon "a" has pool "oak" in force

  Scenario: A change at another daemon comes into force
    Given a records daemon "b" without a network
    And records daemon "b" has pool "oak" in force
    When records daemon "b" applies pool "elm"
    Then records daemon "a" has pool "elm" in force

  Scenario: A deletion comes into force
    When record pool "oak" is deleted in the store
    Then records daemon "a" has no pool "oak"

  Scenario: An outage leaves the view in force and does not flood the store
    When the record store is unavailable for 20 attempts of records daemon "a"
    Then records daemon "a" reports the store as "store_unavailable"
    And records daemon "a" still has pool "oak" in force
    When record pool "elm" is written, "oak" deleted and the outage ends
    Then records daemon "a" has pool "elm" in force
    And records daemon "a" has no pool "oak"

  Scenario: Changes that were compacted away are listed
    When record pool "elm" is written and the store compacts before the watch returns it
    Then records daemon "a" has pool "elm" in force
    And records daemon "a" follows the store

  Scenario: A watch that lags behind changes from peers is no sign of a reverted store
    When pools "ash", "elm" and "fir" are written, a peer sends the last and each watch returns one
    Then records daemon "a" has pool "elm" in force
    And the record store was not listed again

  Scenario Outline: A store restored from a backup is kept out
    When the record store is backed up, gets pool "elm" and is restored <afterwards>
    Then records daemon "a" reports the store as "store_reverted"
    And records daemon "a" still has pool "elm" in force
    And records daemon "a" still has no pool "fir"
    And records daemon "a" refuses to apply pool "ash" with "store_reverted"
    And the record store has no pool "ash"
    When the record store is unavailable for 3 attempts of records daemon "a"
    Then records daemon "a" reports the store as "store_reverted"

    Examples:
      | afterwards                          |
      | with nothing written since          |
      | silently between two watches        |
      | with pool "oak" deleted and rebuilt |
      | with pool "elm" written differently |

  Scenario: The delays between attempts grow up to their bound
    Then 12 record watch delays grow from about 0.5 s to at most 30 s

  Scenario: A store that lacks a record known from a peer is kept out
    When records daemon "a" is sent pool "elm" at revision 50 by a peer
    Then records daemon "a" reports the store as "store_reverted"
    And records daemon "a" still has pool "elm" in force

  Scenario: Each sign of a rolled-back store is sufficient
    Then with pool "oak" at revision 5 and pool "elm" deleted at 9 these listings show:
      | revision | records                   | sign  |
      | 9        | oak at 5                  | none  |
      | 12       | oak at 11                 | none  |
      | 12       | oak at 5, elm at 10       | none  |
      | 8        | oak at 5                  | older |
      | 9        | oak at 4                  | older |
      | 9        | oak at 5 with other value | older |
      | 9        | oak at 5, elm at 3        | older |
