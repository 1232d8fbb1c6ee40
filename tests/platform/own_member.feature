Feature: A daemon's record in the list of members outlasts lost and refused writes

  Scenario Outline: the first write of the record is <fate>
    Given a daemon whose next write of its member record is <fate>
    When it renews its membership twice
    Then its member record is under its present lease

    Examples:
      | fate    |
      | refused |
      | lost    |

  Scenario: a former process's write of the record is carried out late
    Given a daemon whose next write of its member record is lost
    When it renews its membership
    And its process is started anew and renews its membership
    And the lost write of the member record is carried out
    Then its member record is under its present lease

  Scenario: a record is removed with the lease of a former version's late write
    Given a daemon that has renewed its membership
    When its member record is removed
    And it reads the list of members and renews its membership
    Then its member record is under its present lease

  Scenario: the list of members that was read is not complete
    Given a daemon that has renewed its membership
    When it reads a first page of the list without its member record and renews its membership
    Then its member record was written once
