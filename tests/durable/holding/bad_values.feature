Feature: Values that make no sense neither end a tenure nor spoil its decisions

  Scenario Outline: a damaged record of run times is refused
    Given a learned model of run times
    When a record of run times with <damage> is adopted
    Then the record of run times is refused and the model is as before

    Examples:
      | damage                  |
      | a queue mean of 2000    |
      | a queue mean of -2000   |
      | a queue mean of nan     |
      | a task count of -1      |
      | a task count of inf     |
      | a speed of 2000         |
      | a speed of nan          |
      | a variance of nan       |
      | a bias of 10000         |

  Scenario Outline: a caller's absurd estimate spoils neither its queue nor the endpoint
    Given a learned model of run times
    When a task of 1 s with an estimate of <estimate> s is done
    Then a task of 1 s is still expected to take 0.7 to 1.4 s at each endpoint

    Examples:
      | estimate |
      | 3600     |
      | 1e6      |
      | 1e300    |

  Scenario Outline: a job with an absurd estimate is decided on, opened and closed
    Given an admission for 2 endpoints of 64 cores
    When a job with an estimate of <estimate> s is decided on and opened
    Then further jobs of usual estimates are accepted once it is closed

    Examples:
      | estimate |
      | 1e300    |
      | inf      |

  Scenario: a new claimant beyond the kept ones gets a share
    Given shares of 100 cores that 256 claimants exceed
    When a further claimant offers no work
    Then it gets an answer
