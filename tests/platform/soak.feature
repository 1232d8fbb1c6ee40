Feature: The platform's daemons keep their promises under random faults

  # 50 seeds and more are played by hand: python -m tools.soak --seed N --seeds 50

  Scenario: a short soak
    When the soak plays seed 4 for 8 s
    Then every promise was kept
