Feature: A daemon that holds nothing keeps ready to take a group over

  Scenario: what the holders have learnt is read with one cheap call for all groups of a service
    Given a standby daemon of a service with 170 endpoints whose 4 groups are held by other daemons
    When it has refreshed its standby data for 0.3 s
    Then it has made 2 stale reads of pages and no reads of single keys since it began to track the service
    And it expects a run time of 2.5 s in each group, as learned by the holders

  Scenario: a damaged stored value affects only its own group
    Given a standby daemon of a service with 170 endpoints whose 4 groups are held by other daemons
    And the stored run times of the first group are damaged
    When it has refreshed its standby data for 0.3 s
    Then it expects a run time of 2.5 s in each group but the first, as learned by the holders

  Scenario: the endpoint list is applied while the store doesn't let added endpoints be assigned
    Given a daemon that holds the first of 2 groups, none of whose 3 listed endpoints is assigned
    When the job store is out for all calls, and the list is followed for 0.2 s
    Then its copy of the list has 3 endpoints

  Scenario Outline: after an outage of all daemons a group is claimed by the one that held it
    Given a daemon "d0" that starts while all 30 others that the store lists are down
    And the stored claim on a group names <claimant>
    When it has tracked the group for 0.2 s
    Then it <claims> that group

    Examples:
      | claimant                       | claims         |
      | an earlier process of "d0"     | claims         |
      | a process of "d1"              | does not claim |
      | nobody, as it can't be decoded | does not claim |

  Scenario: an unexpected error ends the tenure in which it occurs, and not the daemon
    Given a daemon that holds a group with an endpoint whose address can't be used
    When it has served for 0.2 s
    Then its tenure has ended, and it still runs

  Scenario: a list that takes long to read is as old as the request for it
    Given a daemon whose reads of the list of endpoints take 2 s each
    When it reads the list once, beginning at 100 s
    Then it takes the list for one of 100 s
