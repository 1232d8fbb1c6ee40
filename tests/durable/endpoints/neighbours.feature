Feature: Tasks that slow each other down on one endpoint are noticed and kept apart

  # The loads have the rates, sizes and speeds of the load tests' 24 endpoints. A short task takes 3
  # times as long for each long one beside it, one of the many tasks twice as long.

  Scenario Outline: callers get more in time than from placement that ignores neighbours
    Given tasks of which long ones slow the others down on the same endpoint
    When <load> is simulated with and without keeping neighbours apart
    Then keeping neighbours apart lets more jobs end in time, for every kind that is slowed down
    And keeping neighbours apart costs the kind that slows others nothing

    Examples:
      | load                                  |
      | a third of the usual load             |
      | the usual load                        |

  Scenario: without room apart, tasks run together rather than wait for an endpoint of their own
    Given tasks of which long ones slow the others down on the same endpoint
    When a load above the capacity is simulated with and without keeping neighbours apart
    Then keeping neighbours apart serves at least as many jobs, and more of them in time

  Scenario: a pair is found within 200 ends of tasks that ran beside each other
    Given tasks of which long ones slow the others down on the same endpoint
    When the usual load is simulated with and without keeping neighbours apart
    Then each slowed pair is found within 200 of its shared runs, and no other pair is

  Scenario: no pair is blamed when nothing disturbs, on endpoints of different speeds
    When loads without neighbour effects are simulated, some with a heavy tail
    Then fewer than 1 in 100 pairs of kinds are found to slow each other down

  Scenario: a pair whose effect ends is cleared
    Given tasks of which long ones slow the others down on the same endpoint
    When the effects end after 8 s of a usual load of 60 s that ignores neighbours
    Then every slowed pair is cleared within 40 s of the end of the effect

  Scenario: a slow endpoint is not blamed on its neighbours, nor its neighbours on its speed
    Given tasks of which long ones slow the others down on the same endpoint
    When the usual load is simulated with and without keeping neighbours apart
    Then no other pair is found, and the learned speeds deviate by at most 20 in 100 in the mean

  Scenario: a new holder starts from what the former one found
    Given a group's holder that found a pair of kinds
    When the pair is stored and adopted by a new holder
    Then the new holder keeps the pair apart at once
    And it drops the pair when no report confirms it for 200 s

  Scenario Outline: a damaged record of pairs changes nothing
    Given a group's holder that found a pair of kinds
    When a record of pairs with <damage> is adopted
    Then the record of pairs is refused

    Examples:
      | damage                |
      | a row too short       |
      | text for a number     |
      | a deviation of 0      |
      | a deviation that is no number |
      | a factor too large    |
      | no list               |

  Scenario: runs that are lost or taken back no longer count as neighbours
    Given a group's holder that found a pair of kinds
    And 2 endpoints, each with a run of the kind long
    Then a task of the kind short avoids these endpoints
    When the runs are removed from their endpoints without having ended
    Then a task of the kind short doesn't avoid these endpoints

  Scenario Outline: what is done about a pair depends on the mode
    Given a group's holder in the mode <mode> that is told of a pair of kinds
    And 2 endpoints, each with a run of the kind long
    Then the pair is <shown> to operators
    And a task of the kind short <avoids> these endpoints
    And run times beside the pair's neighbour are learned <learned>

    Examples:
      | mode    | shown     | avoids        | learned     |
      | off     | not shown | doesn't avoid | as they are |
      | observe | shown     | doesn't avoid | as they are |
      | apart   | shown     | avoids        | corrected   |

  Scenario: the regression keeps the most evident of many regressors, and estimates them rightly
    When 16 regressors are observed, more than are kept, with known coefficients
    Then the coefficients of the last regressors are estimated within 3 in 100

  Scenario Outline: the deployment's settings say what is done about neighbours
    Given platform settings with the contracts <contracts> and the variable <variable>
    Then the neighbour mode is <mode>

    Examples:
      | contracts     | variable | mode    |
      | base          |          | off     |
      | base, sharing |          | apart   |
      | base, sharing | off      | off     |
      | base          | observe  | observe |

  Scenario: an unknown neighbour mode is refused with the known ones
    Given platform settings with the contracts base and the variable maybe
    Then the settings are refused, naming the modes off, observe and apart
