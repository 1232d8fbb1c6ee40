Feature: Answers of the store that take longer to arrive than a call may wait

  Scenario: a configuration that grew too large for a call's time on a slow link is in force, and so is the next
    Given a platform of 1 daemon and 1 runner whose tasks take 0.1 s
    And the daemon's link to the store carries 9.5 Mbit/s
    When the operator's configuration grows to 4245 routes
    Then the daemon has it in force
    When the operator's configuration grows by one route 5 s later
    Then the daemon has it in force
    And the daemon reads the configuration less than a tenth of the time

  Scenario Outline: a list that arrives slowly is read to its end
    Given a store whose answers take 2 s to arrive
    When the <reader> reads the slow store
    Then it has read the whole list

    Examples:
      | reader              |
      | list of endpoints   |
      | operator watch      |
      | list of members     |
      | reader of open jobs |

  Scenario: a change of the configuration that arrives slowly is in force, however long the watch had waited
    Given a store whose answers take 2 s to arrive
    When the operator changes the configuration while it is watched
    Then the change is in force

  Scenario: versions that are written faster than they arrive don't queue up
    Given a store whose answers take 1 s to arrive for each configuration in them
    When the operator writes 12 versions, one each 0.5 s
    Then the last version is in force, and no answer held more than 3 versions

  Scenario: a configuration that is in force is not decoded again
    Given a store whose answers take 0 s to arrive
    When the operator's keys are read 3 times
    Then the configuration was applied once

  Scenario: an evacuation that a watch hides is found without reading a large configuration again
    Given a store whose answers take 1 s to arrive
    When the store hides changes from watches, and a failure domain is evacuated
    Then the evacuation is known, and the configuration was read once

  Scenario Outline: an answer that stops arriving is given up on
    Given a store whose answers stop half-way
    When the <reader> reads the slow store
    Then the read fails

    Examples:
      | reader            |
      | list of endpoints |
      | operator watch    |

  Scenario: it is logged that the operator's keys can't be read, and when they are read again
    Given a store whose answers stop half-way
    When the operator's keys are followed, and the answers arrive whole once it is logged that they can't be read
    Then it is logged that the operator's keys are read again
