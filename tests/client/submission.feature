Feature: Callers submit through any daemon and get complete answers to their own work

  Background:
    Given the fake daemons "a" and "b"

  Scenario: A job is answered by the first daemon
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0"

  Scenario: The connection drops after the submission was accepted
    Given daemon "a" will DROP
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0 b:a-0"

  Scenario: The answer does not come in time
    Given the answer to the caller's first submission times out
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0 b:a-0"

  Scenario Outline: A truncated answer or one to another job is never returned to the caller
    Given daemon "a" will <fault>
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0 b:a-0"

    Examples:
      | fault        |
      | TRUNCATE     |
      | OTHER_JOB    |
      | OTHER_TASKS  |
      | WRONG_STATUS |

  Scenario: An answer whose end is marked only by the closed connection is rejected
    Given every daemon answers without a Content-Length
    When a caller submits 3 tasks
    Then the submission fails with "cannot_connect"

  Scenario: No answer comes to any attempt
    Given daemon "a" will DROP, DROP, DROP, DROP
    And daemon "b" will DROP, DROP, DROP, DROP
    When a caller submits 3 tasks
    Then the submission fails with "outcome_unknown"
    And only the identifier "a-0" was received

  Scenario: A refusal is repeated after the time that the daemon named
    Given daemon "a" will REFUSE
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the waits were between 7 and 8.75 seconds each
    And the submissions received were "a:a-0 b:b-16"

  Scenario: A refusal is not repeated beyond the deadline
    Given daemon "a" will REFUSE
    When a caller submits 3 tasks within 5 s
    Then the submission fails with "team_queue_full"
    And there were no waits
    And the submissions received were "a:a-0"

  Scenario: A refusal that repeating cannot help is final
    Given daemon "a" will REFUSE_FOR_GOOD
    When a caller submits 3 tasks
    Then the submission fails with "task_never_fits"
    And the submissions received were "a:a-0"

  Scenario: An unknown outcome is reported to the caller and not retried
    Given daemon "a" will UNKNOWN
    When a caller submits 3 tasks
    Then the submission fails with "home_gone"
    And the submissions received were "a:a-0"

  Scenario: A lost answer and a refusal of the repetition leave the outcome unknown
    Given daemon "a" will DROP
    And daemon "b" will REFUSE_UNREAD
    When a caller submits 3 tasks within 5 s
    Then the submission fails with "outcome_unknown"
    And only the identifier "a-0" was received

  Scenario: The identifier stays after a lost answer and a refusal that does not name it
    Given daemon "a" will DROP
    And daemon "b" will REFUSE_UNREAD
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And only the identifier "a-0" was received

  Scenario: A refusal of the identifier itself is final, so that a new one is taken
    Given daemon "a" will DROP
    And daemon "b" will REFUSE
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0 b:a-0 a:a-1"

  Scenario: The daemon that minted the identifiers is gone before they are used
    When a caller submits 3 tasks
    And daemon "a" goes down
    And the caller submits 3 tasks again
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0 b:b-16"

  Scenario: The preferred daemon is not there
    Given daemon "a" is down
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And there were no waits

  Scenario: No daemon is there
    Given daemon "a" is down
    And daemon "b" is down
    When a caller submits 3 tasks
    Then the submission fails with "cannot_connect"

  Scenario: The answer of a job that is still running is polled for
    Given daemon "a" will STAY_RUNNING
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-0"

  Scenario: Waiting for a job that never ends stops at the timeout
    Given daemon "a" will STAY_RUNNING
    And running jobs never end
    When a caller submits 3 tasks within 5 s
    Then the submission fails with "outcome_unknown"
    And the submissions received were "a:a-0"

  Scenario: One block of identifiers serves many submissions
    When a caller submits 3 tasks 16 times
    Then identifiers were requested 1 times

  Scenario: Identifiers are fetched anew before they are too old
    Given identifiers are valid for 600 s
    When a caller submits 3 tasks
    And 480 s pass for the caller
    And the caller submits 3 tasks again
    Then identifiers were requested 2 times

  Scenario: A resubmission repeats the same content under the same identifier
    Given daemon "a" will DROP
    When a caller submits 3 tasks
    Then all received bodies are the same except for wait_s

  Scenario: A retry does not reuse the connection that failed before
    Given daemon "a" will OTHER_JOB
    And the caller knows only daemon "a"
    When a caller submits 3 tasks
    Then the caller gets 3 results in the order of submission
    And each of 2 submissions came over a different connection

  Scenario: A job that was accepted and is not known any more may have run
    Given daemon "a" will FORGET
    When a caller submits 3 tasks
    Then the submission fails with "job_not_found"
    And the outcome is unknown to the caller

  Scenario: A job that was accepted may have run although no daemon can be asked any more
    Given daemon "a" will STAY_RUNNING
    And both daemons are unreachable after the job is accepted
    When a caller submits 3 tasks
    Then the submission fails with "outcome_unknown"

  Scenario: A caller's own identifier is never replaced
    Given daemon "a" will REFUSE
    When a caller submits 3 tasks under the identifier "a-77"
    Then the caller gets 3 results in the order of submission
    And the submissions received were "a:a-77 b:a-77"

  Scenario Outline: A single request keeps its identifier too
    Given daemon "a" will <fault>
    When a caller sends a single request
    Then the caller gets the endpoint's answer
    And the submissions received were "a:a-0 b:a-0"

    Examples:
      | fault     |
      | DROP      |
      | TRUNCATE  |
      | OTHER_JOB |

  Scenario Outline: A single request ends with its outcome
    Given daemon "a" will <fault>
    When a caller sends a single request
    Then the submission fails with "<code>"
    And the submissions received were "a:a-0"

    Examples:
      | fault           | code            |
      | UNKNOWN         | home_gone       |
      | FAIL            | task_failed     |
      | REFUSE_FOR_GOOD | task_never_fits |
