Feature: A task that an endpoint refuses runs elsewhere, exactly once

  Background:
    Given the proving cluster of 3 daemons and 3 endpoints in 3 failure domains

  Scenario: an endpoint says that it is leaving
    When endpoint 0 says that it is leaving
    And proving job "A" of 60 tasks of 0.3 s with home 0 is submitted to daemon 0
    And all calls of proving job "A" have ended
    And proving job "B" of 24 tasks of 0.1 s with home 1 is submitted to daemon 1
    Then answer 1 of proving job "A" is "done"
    And answer 1 of proving job "B" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: an operator's record says that an endpoint is leaving
    Given the proving cluster has just been started
    When the record of endpoint 1 says at daemon 0 that it is leaving
    And proving job "A" of 48 tasks of 0.5 s with home 0 is submitted to daemon 0
    And proving job "B" of 48 tasks of 0.5 s with home 1 is submitted to daemon 1
    Then answer 1 of proving job "A" is "done"
    And answer 1 of proving job "B" is "done"
    And the history meets all conditions

  Scenario: an operator's record says that a failure domain is evacuated, and taken back
    Given the proving cluster has just been started
    When the record of failure domain "b" says at daemon 0 that it is evacuated
    And proving job "A" of 48 tasks of 0.5 s with home 0 is submitted to daemon 0
    And proving job "B" of 48 tasks of 0.5 s with home 1 is submitted to daemon 1
    Then answer 1 of proving job "A" is "done"
    And answer 1 of proving job "B" is "done"
    And each daemon's status shows the endpoints of failure domain "b" as evacuated
    When the record of failure domain "b" says at daemon 1 that it is taken back
    Then endpoint 1 gets tasks of proving jobs again
    And each daemon's status shows the endpoints of failure domain "" as evacuated
    And the history meets all conditions

  Scenario: the platform's list says that an endpoint is leaving, then the store is out
    When the list of VMs says that all endpoints are leaving, then the store refuses all calls
    And proving job "A" of 3 tasks of 0.1 s with home 0 and a timeout of 4 s is submitted to daemon 0
    Then answer 1 of proving job "A" is "not_run"
    And the history meets all conditions

  Scenario: more tasks are sent than an endpoint has room for
    When the records of all endpoints say that they have 8 slots
    And proving job "A" of 40 tasks of 0.2 s with home 0 is submitted to daemon 0
    Then answer 1 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: a home is frozen, gets slots of endpoints that begin to leave then, and runs on
    When proving job "B" of 16 tasks of 0.6 s with home 1 is submitted to daemon 1
    And tasks wait at daemon 1
    And proving job "A" of 24 tasks of 0.2 s with home 0 is submitted to daemon 0
    And tasks wait at daemon 0
    And daemon 0 is frozen
    And all calls of proving job "B" have ended
    And the record of endpoint 1 says at daemon 1 that it is leaving
    And the record of endpoint 2 says at daemon 1 that it is leaving
    Then daemon 1 sees daemon 0 as "dead"
    When daemon 0 is resumed
    Then answer 1 of proving job "A" is "done"
    And the history meets all conditions
