Feature: One job is served end to end through separate processes

  Background:
    Given a cluster of daemons in "fd-a, fd-a, fd-b" and endpoints of speeds "1, 2, 3, 4" in each failure domain

  Scenario: A job of 310 tasks is spread over all endpoints and answered whole
    When a job of 310 tasks of 0.02 to 0.2 s with seed 1 is submitted to each daemon under its own id
    Then each job is answered with all of its tasks in the order of submission
    And every task was started exactly once
    And every endpoint has run tasks

  Scenario: A resubmission to another daemon gets the answer of the first submission
    When a job of 20 tasks of 0.02 to 0.2 s with seed 2 is submitted to daemon 0 under an id of daemon 1
    And the same job is submitted to daemon 2 under the same id
    Then both answers are the same and complete
    And every task was started exactly once

  Scenario: An id stands for one content only
    When a job of 2 tasks of 0.02 to 0.2 s with seed 3 is submitted to daemon 0 under an id of daemon 1
    And a job with different content is submitted to daemon 2 under the same id
    Then the second submission is refused with status 409 and code "id_reused"
    And every task was started exactly once
