Feature: A daemon that stops answers all requests that still wait

  Scenario Outline: requests that wait at the end of a planned stop
    Given the platform's application, whose jobs are never answered
    When the application receives <request>
    And the waiting requests are abandoned
    Then the caller is answered <status> with Retry-After

    Examples:
      | request                        | status |
      | a submission of a durable job  | 504    |
      | a submission of a job          | 504    |
      | a request for a job's state    | 503    |
      | a cancellation of a job        | 504    |
      | a request for the pending jobs | 503    |

  Scenario: a request that arrives after the waiting ones were abandoned is refused as not run
    Given the platform's application, whose jobs are never answered
    When the waiting requests are abandoned
    And the application receives a submission of a durable job
    Then the caller is answered 503 with Retry-After
    And no job was submitted
