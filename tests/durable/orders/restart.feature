Feature: An endpoint's process restarts under the same identifier

  Scenario Outline: a task that the new process has started isn't started elsewhere
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.6 s
    When a holder with fence 16 takes over
    And all endpoints restart, and the list shows it after <lag_s> s
    And job "a" of <tasks> tasks is submitted
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time
    And <tasks> runs of job "a" were started

    Examples:
      | lag_s | tasks |
      | 0.5   | 2     |
      | 0.5   | 6     |
      | 1.2   | 4     |

  Scenario: an order whose answer was lost is carried out by the new process
    Given a group of 2 endpoints whose runs take 0.6 s
    And the answers of the next 2 starts are lost
    When a holder with fence 16 takes over
    And all endpoints restart, and the list shows it after 0.5 s
    And job "a" of 2 tasks is submitted
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: an order is carried out late by the new process
    Given a group of 2 endpoints whose runs take 0.6 s
    And the next 2 starts are carried out 0.2 s late
    When a holder with fence 16 takes over
    And all endpoints restart, and the list shows it after 0.5 s
    And job "a" of 2 tasks is submitted
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: tasks of the former process start again at once
    Given a group of 2 endpoints whose runs take 0.6 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    And 0.2 s have passed
    And all endpoints restart, and the list shows it after 0.3 s
    Then job "a" ends as "completed" within 2 s
    And no task of job "a" ran twice at the same time
    And 8 runs of job "a" were started

  # Guards against tasks that run twice, as the number up to which a former process may forget its
  # ends lets its successor forget its own.
  Scenario: ends of the new process aren't forgotten by the numbers of the former one
    Given a group of 2 endpoints whose runs take 0.05 s
    When a holder with fence 16 takes over
    And job "a" of 40 tasks is submitted
    Then job "a" ends as "completed" within 3 s
    When 1.3 s have passed
    And all endpoints restart, and the list shows it after 1.5 s
    And the answers to renewals are lost
    And durable job "b" of 8 tasks is submitted
    And 0.4 s have passed
    And renewals are answered again
    Then durable job "b" is shown as "completed" within 5 s
    And each task of job "b" was done once

  Scenario: an endpoint forgets the ends that a lost renewal acknowledged
    Given a group of 1 endpoint whose runs take 0.05 s
    When a holder with fence 16 takes over
    And job "a" of 20 tasks is submitted
    Then job "a" ends as "completed" within 3 s
    When the answers to renewals are lost
    And 1.3 s have passed
    And renewals are answered again
    Then within 2 s the endpoints have forgotten all ends
