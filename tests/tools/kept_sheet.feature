Feature: A copy of a site file in which jobs must be kept

  Scenario Outline: the jobs of as many queues as asked for must be kept
    Given a site file with best-effort jobs in 3 queues
    When a copy is written in which the jobs of <queues> must be kept
    Then the copy has best-effort jobs in <left> queues, and is the same otherwise

    Examples:
      | queues          | left |
      | all queues      | 0    |
      | the first queue | 2    |

  Scenario: a site file without best-effort jobs is refused
    Given a site file with best-effort jobs in 0 queues
    Then no copy can be written, as it has best-effort jobs in 0 queues
