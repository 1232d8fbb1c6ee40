Feature: The division of a service into groups is stored once and only ever extended

  Scenario: a new service is divided, and its endpoints are assigned evenly
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    When "d0" loads the division until it is known
    And "d1" loads the division until it is known
    Then both daemons assign each endpoint to the same one of 12 groups

  Scenario: a service is not divided before the other daemons are reached
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    And "d0" does not reach all other daemons
    When "d0" loads the division once
    Then no division is stored

  Scenario: an added endpoint is assigned by the holder of the first group, and others learn its group
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    When "d0" loads the division until it is known
    And "d1" loads the division until it is known
    And 5 endpoints are added
    And "d1", which holds group 3, looks at the list
    Then "d1" knows no group of 5 endpoints
    When "d0", which holds group 0, looks at the list
    And "d1", which holds group 3, looks at the list
    Then both daemons assign each endpoint to the same one of 12 groups

  Scenario: while the first group has no holder, that of another group assigns endpoints later
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    When "d1" loads the division until it is known
    And 5 endpoints are added
    And "d1", which holds group 1, looks at the list
    Then "d1" knows no group of 5 endpoints
    When "d1", which holds group 1, looks at the list 2 s later
    Then "d1" knows no group of 0 endpoints

  Scenario: two daemons assign added endpoints at the same time
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    When "d0" loads the division until it is known
    And "d1" loads the division until it is known
    And 5 endpoints are added
    And "d0" and "d1", which both hold group 0, look at the list at once
    Then both daemons assign each endpoint to the same one of 12 groups

  Scenario: the groups of a division that an earlier version has stored follow from hashes
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    And an earlier version has stored a division into 3 groups
    When "d0" loads the division until it is known
    And "d1" loads the division until it is known
    And 5 endpoints are added
    And "d0", which holds group 0, looks at the list
    Then both daemons assign each endpoint to the same one of 3 groups
    And the stored division has no assignments

  # Guards against two holders that order one endpoint, which came back into another group.
  Scenario: an endpoint that has left the list for a while keeps its group, however many left before
    Given a service of 45 listed endpoints and daemons "d0" and "d1", which each carry 4 endpoints
    When "d0" loads the division until it is known
    And 4100 endpoints that were assigned after them have left the list long ago
    And endpoint "e3" leaves the list
    And 5 endpoints are added
    And "d0", which holds group 0, looks at the list
    Then "e3" is still assigned to its group, beside 4000 others that aren't listed
