Feature: A daemon that holds nothing keeps ready to take a group over

  Scenario: what the holders have learnt is read with one cheap call for all groups of a service
    Given a member of a service of 170 endpoints whose 4 groups are held elsewhere
    When it has kept itself ready for 0.3 s
    Then it has made 2 cheap reads of pages and none of single keys since it followed the service
    And it expects 2.5 s for a task of each group, as their holders have learnt

  Scenario: a damaged value costs its own group's knowledge only
    Given a member of a service of 170 endpoints whose 4 groups are held elsewhere
    And the run times of the first group are damaged in the store
    When it has kept itself ready for 0.3 s
    Then it expects 2.5 s for a task of each group but the first, as their holders have learnt
