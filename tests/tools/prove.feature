Feature: All conditions hold under a random schedule of faults

  Scenario: The schedule of a fixed seed violates no condition
    When the random schedule of seed 1 is run
    Then every condition held
