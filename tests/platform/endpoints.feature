Feature: A call to a runner that stays unanswered is sent again before it costs the caller its time

  Background:
    Given a runner whose tasks take 0.3 s, and a client of it with a timeout of 20 s for calls

  Scenario: an order without an answer is confirmed by a second copy, and runs once
    When the next call to start is left unanswered and carried out 0.6 s late
    Then an order to start task 1 is answered with "started" within 10 s
    And after 1 s the runner has started task 1 once

  Scenario: a late copy of an order does not start a run that was stopped
    When the next call to start is left unanswered and carried out 0.6 s late
    Then an order to start task 1 is answered with "started" within 10 s
    And a call to stop task 1 is answered within 10 s
    And after 1 s the runner has started task 1 once

  Scenario: an order is confirmed by its last copy
    When the next 3 calls to start are left unanswered and carried out 0.6 s late
    Then an order to start task 1 is answered with "started" within 10 s
    And after 1 s the runner has started task 1 once

  Scenario: it stays open whether the task starts if no copy is answered
    Given its client has a timeout of 0.8 s for calls
    When the next 4 calls to start are left unanswered and carried out 0.6 s late
    Then an order to start task 1 is answered with "unknown" within 10 s

  Scenario: the refusal of a copy says nothing about the first one
    Given the runner has run task 1 under a higher number
    When the next call to start is left unanswered and carried out 0.6 s late
    Then an order to start task 1 is answered with "unknown" within 10 s
    And an order to start task 1 is answered with "run_too_old" within 10 s

  Scenario: the report of an end is requested again when its answer is lost
    When task 1 runs on the runner
    And the next call to hold is left unanswered and carried out 0.1 s late
    Then a renewal that waits 0.5 s for an end reports the end of task 1 within 10 s

  Scenario: a connection that the host refuses is told from a call without an answer
    When the runner's process ends
    Then a renewal ends with "endpoint_refused"

  Scenario: a call that stays without an answer doesn't show that the process has ended
    Given its client has a timeout of 0.2 s for calls
    When the next 4 calls to hold are left unanswered and carried out 5 s late
    Then a renewal ends with "endpoint_call_failed"

  Scenario Outline: a call is overdue by the response times seen so far
    Given response times of <times> s
    Then a call without an answer is overdue after <at least> to <at most> s

    Examples:
      | times                             | at least | at most |
      | none                              | 0.1      | 0.1     |
      | 0.004, 0.004, 0.005, 0.004, 0.004 | 0.02     | 0.02    |
      | 0.1, 0.1, 0.1, 0.1, 0.1, 0.1      | 0.1      | 0.2     |
      | 0.004, 0.2, 0.004, 0.2, 0.004     | 0.2      | 0.4     |

  Scenario Outline: a renewal waits until shortly after the next expected end
    Then with <remaining> s to the next expected end an endpoint may wait <wait> s

    Examples:
      | remaining | wait |
      | 0.06      | 0.1  |
      | 0.12      | 0.18 |
      | 5         | 0.3  |
      | -1        | 0.1  |
