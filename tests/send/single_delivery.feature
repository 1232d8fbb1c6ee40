Feature: A request that may not be repeated runs at most once, and its caller gets its own answer

  Background:
    Given the proving cluster of 3 daemons and 3 endpoints in 3 failure domains

  Scenario: an endpoint truncates its answers
    When each endpoint is told to truncate its answers
    And proving job "A" of 4 tasks of 0.2 s with home 0 is submitted to daemon 1
    Then answer 1 of proving job "A" is "outcome_unknown" with code "answer_lost"
    When each endpoint is told to work again
    And proving job "A" is submitted again to daemon 2
    Then answer 2 of proving job "A" is "outcome_unknown" with code "answer_lost"
    And the history meets all conditions

  Scenario: an endpoint answers with more than is allowed
    When each endpoint is told to answer with 9000000 bytes
    And proving job "A" of 1 tasks of 0.2 s with home 0 is submitted to daemon 0
    Then answer 1 of proving job "A" is "failed" with code "answer_too_large"
    And the history meets all conditions

  Scenario: the answers of a job are together larger than is allowed
    When each endpoint is told to answer with 3000000 bytes
    And proving job "A" of 4 tasks of 0.1 s with home 0 is submitted to daemon 0
    And all calls of proving job "A" have ended
    And proving job "A" is submitted again to daemon 1
    Then answer 1 of proving job "A" is "failed" with code "answer_too_large"
    And answer 2 of proving job "A" is "failed" with code "answer_too_large"
    And the history meets all conditions

  Scenario: the largest answer allowed reaches a caller at another daemon
    When each endpoint is told to answer with 8388450 bytes
    And proving job "A" of 1 tasks of 0.1 s with home 0 is submitted to daemon 0
    And all calls of proving job "A" have ended
    And proving job "A" is submitted again to daemon 1
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And the history meets all conditions

  Scenario: an endpoint answers after the timeout, and its connections serve other jobs
    When each endpoint is told to answer 6 s late
    And proving job "A" of 6 tasks of 0.1 s with home 0 and a timeout of 3 s is submitted to daemon 1
    Then answer 1 of proving job "A" is "outcome_unknown" with code "timeout"
    When each endpoint is told to answer in time
    And proving job "B" of 24 tasks of 0.2 s with home 0 is submitted to daemon 2
    Then answer 1 of proving job "B" is "done"
    When proving job "A" is submitted again to daemon 0
    Then answer 2 of proving job "A" is "outcome_unknown" with code "timeout"
    And the history meets all conditions

  Scenario: an endpoint fails every task, which may be repeated only if both sides say so
    When each endpoint is told to fail everything
    And proving job "A" of 3 tasks of 0.1 s with home 0 is submitted to daemon 1
    Then answer 1 of proving job "A" is "failed" with code "task_failed"
    And the history meets all conditions

  Scenario: streams between daemons break in mid-message
    When the links between daemons pass 64 KiB in 0.02 s
    And proving job "A" of 1 task of 6000000 bytes with home 0 is submitted to daemon 1
    And all links between daemons are cut after 0.5 s and restored
    Then answer 1 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: connections to endpoints go silent and new ones work
    When proving job "A" of 24 tasks of 0.1 s with home 0 is submitted to daemon 0
    And all calls of proving job "A" have ended
    And each endpoint is told to silence its open connections
    And proving job "B" of 6 tasks of 0.1 s with home 0 and a timeout of 3 s is submitted to daemon 0
    And all calls of proving job "B" have ended
    And proving job "C" of 6 tasks of 0.1 s with home 1 is submitted to daemon 1
    Then answer 1 of proving job "C" is "done"
    And the history meets all conditions
