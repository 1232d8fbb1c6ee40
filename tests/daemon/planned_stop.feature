Feature: A planned stop cuts no request in flight

  Background:
    Given the proving cluster of 3 daemons and 3 endpoints in 3 failure domains

  Scenario: a stopping daemon has a long request of another home in flight
    When proving job "A" of 2 tasks of 7 s with home 1 is submitted to daemon 0
    And 2 tasks of proving job "A" run
    And daemon 0 is stopped as planned
    Then answer 1 of proving job "A" is "done"
    And daemon 0 has exited with status 0
    And the history meets all conditions

  Scenario: a stopping home has a large answer to give through another daemon
    When each endpoint is told to answer with 8000000 bytes
    And proving job "A" of 1 tasks of 1 s with home 0 is submitted to daemon 1
    And 1 tasks of proving job "A" run
    And daemon 0 is stopped as planned
    Then answer 1 of proving job "A" is "done"
    And daemon 0 has exited with status 0
    And the history meets all conditions

  Scenario: all daemons are restarted one after another under load
    When callers submit jobs of 4 tasks of 0.2 s continuously to daemons that are ready
    And each daemon is stopped as planned and started again
    And the callers stop
    Then no proving job has failed
    And the history meets all conditions
