Feature: A job has one answer, complete or failed, and a refusal that says "not run" is true

  Background:
    Given the proving cluster of 3 daemons and 3 endpoints in 3 failure domains

  Scenario: a job is cancelled while it runs
    When proving job "A" of 24 tasks of 0.5 s with home 0 is submitted to daemon 1
    And 6 tasks of proving job "A" run
    And proving job "A" is cancelled at daemon 2
    Then answer 2 of proving job "A" is "failed" with code "cancelled"
    And answer 1 of proving job "A" is "failed" with code "cancelled"
    When proving job "A" is submitted again to daemon 0
    Then answer 3 of proving job "A" is "failed" with code "cancelled"
    And the history meets all conditions

  Scenario: a job is cancelled after its end
    When proving job "A" of 3 tasks of 0.1 s with home 0 is submitted to daemon 1
    And all calls of proving job "A" have ended
    And proving job "A" is cancelled at daemon 2
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And the history meets all conditions

  Scenario: a job is cancelled before its submission arrives
    When proving job "A" of 3 tasks of 0.05 s gets an id of daemon 0
    And proving job "A" is cancelled at daemon 1
    And proving job "A" is submitted again to daemon 2
    Then answer 1 of proving job "A" is "not_run"
    And answer 2 of proving job "A" is "not_run"
    And no task of proving job "A" has started
    And the history meets all conditions

  Scenario: a job is fetched before its submission arrives
    When proving job "A" of 3 tasks of 0.05 s gets an id of daemon 0
    And proving job "A" is fetched at daemon 1
    And proving job "A" is submitted again to daemon 2
    Then answer 1 of proving job "A" is "outcome_unknown" with code "job_not_found"
    And answer 2 of proving job "A" is "done"

  Scenario: an endpoint is killed in mid-task
    When proving job "A" of 6 tasks of 1.5 s with home 1 is submitted to daemon 2
    And 3 tasks of proving job "A" run
    And an endpoint that runs proving job "A" is killed
    Then answer 1 of proving job "A" is "outcome_unknown" with code "answer_lost"
    And the history meets all conditions
