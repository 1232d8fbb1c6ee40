Feature: Run times are estimated for each endpoint and service

  Scenario: Run times that vary widely give a steady mean
    Given a run time estimator without samples
    When 2000 run times of 0.05 s and an exponential part of 0.1 s are added with seed 1
    Then every estimate after the first 200 was within 25 % of 0.15 s

  Scenario: An endpoint that has become four times slower is detected
    Given a run time estimator without samples
    When 200 run times of 0.1 s are added
    And 100 run times of 0.4 s are added
    Then the expected run time is above 0.3 s

  Scenario: An endpoint that has not run anything is assumed to be as fast as the fastest
    Given a run time estimator without samples
    When 10 run times of 0.1 s are added
    Then another endpoint is expected to take 0.1 s
