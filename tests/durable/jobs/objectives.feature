Feature: By when a job should have been completed, once its work is known

  Scenario Outline: the objective follows the work that the tasks turned out to be
    Given a job whose steps were expected to take 0.1 s each, the second after the first
    When its tasks turn out to take <first> and <second> s
    Then its objective is <objective> s

    Examples:
      | first    | second | objective |
      | 0.1, 0.1 | 0.1    | 0.5       |
      | 0.3, 0.1 | 0.2    | 1.1       |
      | 0.3, 0.1 | 0      | 0.5       |
