Feature: Only a holder that has loaded the open jobs under its claim ends what is left of unknown jobs

  Scenario Outline: an endpoint reports an end and a run of a job that isn't open at the holder
    Given a holder <holder>
    When an endpoint reports an end and a run of an unknown job, again after <time_s> s
    Then the holder <lets> the endpoint forget that end, and <stops> that run

    Examples:
      | holder                                             | time_s | lets         | stops         |
      | without a claim                                    | 3      | doesn't let  | doesn't stop  |
      | with a claim that hasn't loaded the open jobs yet  | 3      | doesn't let  | doesn't stop  |
      | with a claim that has loaded the open jobs         | 0.25   | lets         | stops         |
      | with a claim that has loaded the open jobs         | 0.15   | doesn't let  | doesn't stop  |
      | with a claim that can't decode that job's record   | 3      | doesn't let  | doesn't stop  |

  Scenario Outline: what is reported before the open jobs are loaded is ended once they are
    Given a holder with a claim that hasn't loaded the open jobs yet
    When an endpoint reports an end and a run of an unknown job, again after <time_s> s
    And the open jobs are loaded, and the endpoint reports again
    Then the holder <lets> the endpoint forget that end, and <stops> that run

    Examples:
      | time_s | lets         | stops         |
      | 0.25   | lets         | stops         |
      | 0.15   | doesn't let  | doesn't stop  |

  Scenario: a provisional holder lets endpoints forget the ends of its own best-effort jobs
    Given a holder without a claim
    And a best-effort job of 2 tasks runs at its endpoint
    When the endpoint reports the end of the first task
    Then the holder lets the endpoint forget 1 end
    When the job is dropped and the endpoint reports the end of the second task, too
    Then the holder lets the endpoint forget 2 ends

  Scenario: a dropped job's run that a provisional holder still finds in a report is stopped again
    Given a holder without a claim
    And a best-effort job of 2 tasks runs at its endpoint
    When the job is dropped and the endpoint reports both runs
    Then the holder has ordered each run of the job to stop twice

  Scenario: a provisional holder lets endpoints forget ends of a best-effort job that comes again
    Given a holder without a claim
    When an endpoint reports an end and a run of an unknown job, again after 0.1 s
    And that job is submitted again as a best-effort job
    Then the holder lets the endpoint forget that end, and doesn't stop that run

  Scenario: a holder that suspends its durable jobs leaves their runs alone
    Given a holder with a claim that has loaded the open jobs
    And a durable job of 2 tasks runs at its endpoint
    When the store hasn't confirmed its claim for too long
    Then its tenure has ended, and no run was ordered to stop
