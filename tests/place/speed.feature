Feature: Run times are learnt for each endpoint and service

  Scenario: Run times that vary widely give a steady mean
    Given an empty book of run times
    When 2000 run times of 0.05 s and an exponential part of 0.1 s are learnt with seed 1
    Then every expectation after the first 200 was within 25 % of 0.15 s

  Scenario: An endpoint that has become four times slower is found out
    Given an empty book of run times
    When 200 run times of 0.1 s are learnt
    And 100 run times of 0.4 s are learnt
    Then the expected run time is above 0.3 s

  Scenario: An endpoint that has not run anything is taken to be as fast as the fastest
    Given an empty book of run times
    When 10 run times of 0.1 s are learnt
    Then another endpoint is expected to take 0.1 s
