Feature: The platform's daemons keep their promises under random faults

  # Runs over 50 or more seeds are started by hand: python -m tools.soak --seed N --seeds 50

  Scenario: a short soak
    When the soak test runs with seed 4 for 8 s
    Then the soak test finds no problem
