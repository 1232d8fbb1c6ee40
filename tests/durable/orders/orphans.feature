Feature: Only a holder that has loaded the open jobs under its claim ends what is left of unknown jobs

  # Guards against done best-effort tasks that run again because their entry daemon is slow.
  Scenario Outline: an endpoint reports an end and a run of a job that isn't open at the holder
    Given a holder <holder>
    When an endpoint reports an end and a run of an unknown job
    And the entry daemons have told that <told>
    And <time_s> s later the endpoint reports them again
    Then the holder <lets> the endpoint forget that end, and <stops> that run

    Examples:
      | holder                                             | told                      | time_s | lets         | stops         |
      | without a claim                                    | nobody waits for that job | 3      | doesn't let  | doesn't stop  |
      | with a claim that hasn't loaded the open jobs yet  | nobody waits for that job | 3      | doesn't let  | doesn't stop  |
      | with a claim that can't decode that job's record   | nobody waits for that job | 3      | doesn't let  | doesn't stop  |
      | with a claim that has loaded the open jobs         | nobody waits for that job | 0.05   | lets         | stops         |
      | with a claim that has loaded the open jobs         | a caller waits for it     | 3      | doesn't let  | doesn't stop  |
      | with a claim that has loaded the open jobs         | nothing yet               | 0.15   | doesn't let  | doesn't stop  |
      | with a claim that has loaded the open jobs         | nothing yet               | 3      | doesn't let  | stops         |
      | with a claim that has loaded the open jobs         | nobody waited before      | 0.15   | doesn't let  | doesn't stop  |
      | with a claim that has loaded the open jobs         | nobody waited before      | 3      | doesn't let  | stops         |

  Scenario Outline: what is reported before the open jobs are loaded is ended once they are
    Given a holder with a claim that hasn't loaded the open jobs yet
    When an endpoint reports an end and a run of an unknown job
    And the open jobs are loaded
    And the entry daemons have told that <told>
    And 0.05 s later the endpoint reports them again
    Then the holder <lets> the endpoint forget that end, and <stops> that run

    Examples:
      | told                      | lets         | stops         |
      | nobody waits for that job | lets         | stops         |
      | a caller waits for it     | doesn't let  | doesn't stop  |
      | nothing yet               | doesn't let  | doesn't stop  |

  Scenario Outline: leases lapse under ends that may be of unknown durable jobs
    Given a holder <holder>
    When an endpoint reports the end of run <run> of an unknown job, again after <time_s> s
    Then that endpoint's lease <is> extended

    Examples:
      | holder                                             | run  | time_s | is    |
      | without a claim                                    | 1025 | 0.5    | isn't |
      | without a claim                                    | 1025 | 1.2    | is    |
      | without a claim                                    | 1    | 0.5    | is    |
      | with a claim that hasn't loaded the open jobs yet  | 1025 | 0.5    | isn't |
      | with a claim that has loaded the open jobs         | 1025 | 0.1    | is    |

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
    And that job is dropped
    Then the holder lets the endpoint forget 1 end

  Scenario: the ends of a best-effort job that comes again and is done are let go
    Given a holder with a claim that has loaded the open jobs
    When an endpoint reports an end and a run of an unknown job, again after 0.05 s
    And the entry daemons have told that a caller waits for it
    And that job is submitted again as a best-effort job
    And the endpoint reports the ends of both its tasks
    Then the holder lets the endpoint forget 2 ends

  Scenario: a best-effort job that comes again twice while its ends are kept is still done in part
    Given a holder with a claim that has loaded the open jobs
    When an endpoint reports an end and a run of an unknown job, again after 0.05 s
    And that job is submitted again as a best-effort job
    And that job is dropped
    Then the holder lets the endpoint forget 0 ends
    When that job is submitted again as a best-effort job
    Then its first task counts as done

  Scenario: a holder that suspends its durable jobs leaves their runs alone and asks to be replaced
    Given a holder with a claim that has loaded the open jobs
    And a durable job of 2 tasks runs at its endpoint
    When the store hasn't confirmed its claim for too long
    Then its tenure has ended, and no run was ordered to stop
    And the other daemons have heard that it is leaving

  Scenario Outline: a holder that may have to suspend keeps the ends of unfinished best-effort jobs
    Given a holder with a claim that has loaded the open jobs
    And <others> at its endpoint
    And a best-effort job of 2 tasks runs at its endpoint
    When the store has last confirmed its claim <age_s> s ago
    And the endpoint reports the end of the first task
    Then the holder lets the endpoint forget <first> ends
    When the endpoint reports the end of the second task, too
    Then the holder lets the endpoint forget 2 ends

    Examples:
      | others                      | age_s | first |
      | another durable job is open | 1.0   | 0     |
      | another durable job is open | 0.5   | 1     |
      | no other job is open        | 1.0   | 1     |

  # Guards against done tasks that run again because a holder went on after it had been replaced.
  Scenario Outline: a holder that was paused keeps the ends of unfinished best-effort jobs
    Given a holder with a claim that has loaded the open jobs
    And a best-effort job of 2 tasks runs at its endpoint
    When the holder is paused for <pause_s> s, and runs on for <time_s> s
    And the endpoint reports the end of the first task
    Then the holder lets the endpoint forget <first> ends
    When the endpoint reports the end of the second task, too
    Then the holder lets the endpoint forget 2 ends

    Examples:
      | pause_s | time_s | first |
      | 0.35    | 0.0    | 0     |
      | 0.35    | 0.4    | 0     |
      | 0.35    | 0.6    | 1     |
      | 0.25    | 0.0    | 1     |

  Scenario: a holder that finds an open job of a later claim has lost its own
    Given a holder with a claim that hasn't loaded the open jobs yet
    And a later holder has stored an open job
    When the open jobs are loaded
    Then its tenure has ended, and no job is open or counts as loaded

  Scenario: a job whose record can't be decoded isn't said to be unknown
    Given a holder with a claim that can't decode that job's record
    When a caller asks for that job, and another one cancels it
    Then neither is told that there is no such job
