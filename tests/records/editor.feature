Feature: Operators' changes take effect whole, once, and on what the operator saw
  Background:
    Given a record store with a pool "oak"
    And a records daemon "a"
    And a records daemon "b"
    And records daemon "a" has pool "oak" in force
    And records daemon "b" has pool "oak" in force

  Scenario: Of two operators who race, one is told the current revision
    When records daemons "a" and "b" change pool "oak" at one revision
    Then one record change is accepted and the other is refused with "record_conflict" and its revision

  Scenario: A lost answer is found out
    Given the record store loses the answer to the next write
    When records daemon "a" applies endpoint "e1"
    Then the record change is accepted at the stored revision and was written once

  Scenario: A lost write is repeated
    Given the record store loses the next write on an existing pool
    When records daemon "a" changes pool "oak"
    Then the record change is accepted at the stored revision and was written once

  Scenario: The lost answer to a deletion is found out
    Given the record store loses the answer to the next write
    When records daemon "a" deletes pool "oak"
    Then the record deletion is accepted and records daemon "b" has no pool "oak"

  Scenario: A lost write behind another operator's is a conflict
    Given the record store loses the next write on an existing pool
    When records daemon "a" changes pool "oak" and "b" does so before the answer
    Then the record change is refused with "record_conflict"

  Scenario: A lost creation is not repeated, which could undo a deletion
    Given the record store loses the next write on an existing pool
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_outcome_unknown" and its change id
    And the record store has no pool "elm"

  Scenario: A store that stays silent after a lost answer gives an honest error
    Given the record store loses the answer to the next write and goes out
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_outcome_unknown" and its change id

  Scenario: An outage refuses with nothing written
    Given the record store is out
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_store_unavailable"
    And the record store has no pool "elm"

  Scenario: What other records need stays
    When records daemon "a" applies endpoint "e1"
    And records daemon "a" deletes pool "oak"
    Then the record change is refused with "record_in_use"

  Scenario: What a record refers to must exist
    When records daemon "a" applies an endpoint of the missing pool "elm"
    Then the record change is refused with "record_invalid"

  Scenario: A lost answer to the mark of a new record leaves the record unwritten
    Given the record store loses the answer to the next write of a mark
    When records daemon "a" applies pool "elm"
    Then the record change is refused with "record_store_unavailable"
    And the record store has no pool "elm"

  Scenario: A daemon without a view changes nothing
    Given only records daemon "c" that has loaded nothing
    When records daemon "c" changes pool "oak"
    Then the record change is refused with "record_store_unavailable"
