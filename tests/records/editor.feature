Feature: Operators' changes take effect as a whole, once, and only on the revision that the operator read
  Background:
    Given a record store with a pool "oak"
    And a records daemon "a"
    And a records daemon "b"
    And records daemon "a" has pool "oak" in force
    And records daemon "b" has pool "oak" in force

  Scenario: Of two concurrent changes, one is refused with the current revision
    When records daemons "a" and "b" change pool "oak" at one revision
    Then one record change is accepted and the other is refused with "record_conflict" and its revision

  Scenario: A write whose answer was lost is read back
    Given the record store loses the answer to the next write
    When records daemon "a" applies endpoint "e1"
    Then the record change is accepted at the stored revision and was written once

  Scenario: A lost write is repeated
    Given the record store loses the next write on an existing pool
    When records daemon "a" changes pool "oak"
    Then the record change is accepted at the stored revision and was written once

  Scenario: A deletion whose answer was lost is read back
    Given the record store loses the answer to the next write
    When records daemon "a" deletes pool "oak"
    Then the record deletion is accepted and records daemon "b" has no pool "oak"

  Scenario: A lost write that another operator's change precedes is a conflict
    Given the record store loses the next write on an existing pool
    When records daemon "a" changes pool "oak" and "b" changes it before the answer
    Then the record change is refused with "record_conflict"

  Scenario: A lost creation is not repeated, which could undo a deletion
    Given the record store loses the next write on an existing pool
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_outcome_unknown" and its change id
    And the record store has no pool "elm"

  Scenario: A store that stays unavailable after a lost answer leaves the outcome unknown
    Given the record store loses the answer to the next write and becomes unavailable
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_outcome_unknown" and its change id

  Scenario: An outage refuses with nothing written
    Given the record store is unavailable
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_store_unavailable"
    And the record store has no pool "elm"

  Scenario: A record that other records refer to cannot be deleted
    When records daemon "a" applies endpoint "e1"
    And records daemon "a" deletes pool "oak"
    Then the record change is refused with "record_in_use"

  Scenario: What a record refers to must exist
    When records daemon "a" applies an endpoint of the missing pool "elm"
    Then the record change is refused with "record_invalid"

  Scenario: A lost answer to the creation marker of a new record leaves the record unwritten
    Given the record store loses the answer to the next write of a creation marker
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_store_unavailable"
    And the record store has no pool "elm"

  Scenario: A daemon without a view changes nothing
    Given only records daemon "c" that has loaded nothing
    When records daemon "c" changes pool "oak"
    Then the record change is refused with "record_store_unavailable"
