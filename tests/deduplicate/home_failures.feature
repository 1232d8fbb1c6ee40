Feature: No task of a submission starts twice, wherever and whenever it is submitted again

  Background:
    Given the proving cluster of 3 daemons and 3 endpoints in 3 failure domains

  Scenario: the home is alive
    When proving job "A" of 6 tasks of 0.4 s with home 0 is submitted to daemon 0
    And 1 tasks of proving job "A" run
    And proving job "A" is submitted again to daemon 1
    And proving job "A" is submitted again to daemon 2
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And answer 3 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: a balancer sends the same request to all daemons at once
    When proving request "A" of 0.3 s with home 1 is sent to all daemons
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And answer 3 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: the store is out
    When the store refuses all calls
    And proving job "A" of 4 tasks of 0.2 s with home 0 is submitted to daemon 1
    And proving job "A" is submitted again to daemon 2
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: the links go silent while the home is alive
    When proving job "A" of 3 tasks of 2 s with home 0 is submitted to daemon 1
    And 3 tasks of proving job "A" run
    And all links between daemons go silent
    And proving job "A" is submitted again to daemon 2
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: the home is frozen, is taken for dead and runs on
    When proving job "A" of 8 tasks of 0.4 s with home 0 is submitted to daemon 0
    And 3 tasks of proving job "A" run
    And daemon 0 is frozen
    And proving job "A" is submitted again to daemon 1
    And proving job "A" is submitted again to daemon 2
    Then answer 2 of proving job "A" is "outcome_unknown" with code "home_unreachable"
    And answer 3 of proving job "A" is "outcome_unknown" with code "home_unreachable"
    When daemon 0 is resumed
    Then answer 1 of proving job "A" is "done"
    And daemon 1 sees daemon 0 as "alive"
    When proving job "A" is submitted again to daemon 1
    Then answer 4 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: the failure domains are cut off from each other, go on serving and are joined again
    When proving job "A" of 6 tasks of 0.5 s with home 0 is submitted to daemon 0
    And 1 tasks of proving job "A" run
    And all links between daemons are cut
    And proving job "A" is submitted again to daemon 1
    Then answer 1 of proving job "A" is "done"
    And answer 2 of proving job "A" is "outcome_unknown" with code "home_unreachable"
    When every daemon sees the others as "dead"
    And proving job "B" of 24 tasks of 0.2 s with home 0 is submitted to daemon 0
    And proving job "C" of 24 tasks of 0.2 s with home 1 is submitted to daemon 1
    And proving job "D" of 24 tasks of 0.2 s with home 2 is submitted to daemon 2
    Then answer 1 of proving job "B" is "done"
    And answer 1 of proving job "C" is "done"
    And answer 1 of proving job "D" is "done"
    When all links between daemons are restored
    Then daemon 1 sees daemon 0 as "alive"
    When proving job "A" is submitted again to daemon 1
    Then answer 3 of proving job "A" is "done"
    And every task of proving job "A" has started once
    And the history meets all conditions

  Scenario: the home is killed and started again
    When proving job "A" of 6 tasks of 0.5 s with home 0 is submitted to daemon 0
    And 1 tasks of proving job "A" run
    And daemon 0 is killed
    And proving job "A" is submitted again to daemon 1
    Then answer 2 of proving job "A" is "outcome_unknown" with code "home_unreachable"
    And answer 2 of proving job "A" took less than 10 s
    When daemon 0 is started again
    And proving job "A" is submitted again to daemon 0
    Then answer 3 of proving job "A" is "outcome_unknown" with code "home_gone"
    And the history meets all conditions
