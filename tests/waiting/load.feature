Feature: A job that would start too late to end in time is refused at once

  Scenario Outline: The expected wait and three run times, or half the timeout, must fit the timeout
    When a job with a timeout of <timeout> s is checked at an expected wait of <wait> s and run times of <run> s
    Then its admission ends with "<code>"

    Examples:
      | timeout | wait | run | code              |
      | 2.0     | 1.0  | 0.3 | accepted          |
      | 1.8     | 1.0  | 0.3 | deadline_too_soon |
      | 0.5     | 1.0  | 0.0 | deadline_too_soon |
      | 0.1     | 0.0  | 0.3 | accepted          |
      | 3.0     | 0.01 | 1.2 | accepted          |
      | 3.0     | 1.6  | 1.2 | deadline_too_soon |
