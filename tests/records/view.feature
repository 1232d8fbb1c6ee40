Feature: The view applies the highest revision of each record, from any source
  Scenario: Changes in any order give the same view
    Then 100 random orders of the same record changes give the same view and digest

  Scenario: Digests differ if an earlier record was missed
    Given a record view with revision 3 of "a" and another with revisions 2 of "b" and 3 of "a"
    Then the record digests differ

  Scenario: A record of a newer schema version leaves the earlier form in force
    Given a record view with a pool "oak" and an endpoint "e1"
    When the record view receives endpoint "e1" in schema version 3
    Then endpoint "e1" is in the record view with 8 slots
    And the record view reports "schema_version_unknown" for endpoint "e1"
    When the record view receives endpoint "e1" in schema version 2
    Then endpoint "e1" is in the record view with cost bearer "orar"
    And the record view reports nothing

  Scenario: A value that is no record at all is reported
    Given a record view with a pool "oak" and an endpoint "e1"
    When the record view receives broken values for endpoint "e1" and a new endpoint
    Then endpoint "e1" is in the record view with 8 slots
    And the record view reports "json_malformed" for endpoint "e1"

  Scenario: A dangling reference is tolerated and reported
    Given a record view with a pool "oak" and an endpoint "e1"
    When the record view receives a deletion of pool "oak"
    Then endpoint "e1" is in the record view with 8 slots
    And the record view reports "reference_dangling" for endpoint "e1"

  Scenario: A deletion dropped from the bounded tombstones is not undone by a peer
    Given a record view limited to 1 tombstone after 3 deletions
    When a peer sends the view the first deleted record
    Then the record stays deleted
