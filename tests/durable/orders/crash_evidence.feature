Feature: An endpoint's crash counts only under tasks whose runs had begun there

  Scenario: orders that another instance rejects don't fail a job that has never begun
    Given a group of 4 endpoints whose runs take 0.1 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And all endpoints restart, and the list shows it after 0.5 s
    And durable job "k" of 8 tasks is submitted
    Then durable job "k" is shown as "completed" within 7 s
    And no crash has been counted
    And 8 runs of job "k" were started

  Scenario: endpoints that crash before they carry out an order don't fail its job
    Given a group of 2 endpoints whose runs take 0.1 s
    And each endpoint crashes before it carries out its first order, and is back after 1.6 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 9 s
    And 2 endpoint processes have crashed

  Scenario: a crash that a former version has stored without proof doesn't fail a job
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 1.6 s
    And durable job "k" of 1 task was stored with 1 crash by an earlier version
    When a holder with fence 16 takes over
    And an endpoint process has crashed
    And job "k" crashes no endpoints any more
    Then durable job "k" is shown as "completed" within 9 s

  Scenario: crashes under runs that may have ended before are kept at a change of holder
    Given a group of 1 endpoint whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 1.6 s
    And the endpoints come back under another identifier
    And the hosts of the endpoints are silent while they are down
    When a holder with fence 16 takes over
    And the list goes on to name the former processes
    And durable job "k" of 1 task is submitted
    And a possible crash is stored with job "k"
    And the holder with fence 16 ends
    And a holder with fence 32 takes over
    And the list names the new processes
    Then durable job "k" is shown as "failed" within 24 s
    And 4 endpoint processes have crashed

  Scenario: starts that are confirmed only after the loss of the endpoint count as possible
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 0.4 s
    And the endpoints come back under another identifier
    And the answers to starts come 0.9 s late
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "failed" within 9 s

  Scenario: starts whose lack of an answer shows only after the loss don't fail a job
    Given a group of 6 endpoints whose runs take 0.3 s
    And each endpoint crashes before it carries out its first order, and is back after 0.4 s
    And the endpoints come back under another identifier
    And the answers to starts come 0.9 s late
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 6 endpoints have been replaced
    Then durable job "k" is shown as "completed" within 9 s

  Scenario: an endpoint that leaves by plan doesn't count as crashed
    Given a group of 2 endpoints whose runs take 1.2 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" is listed as leaving, and its process ends
    Then durable job "k" is shown as "completed" within 7 s
    And no crash has been counted

  Scenario: endpoints that may have left by plan while the list was unread don't fail a job
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 1.6 s
    When a holder with fence 16 takes over
    And the list of endpoints can't be read any more
    And 2 s have passed
    And durable job "k" of 1 task is submitted
    And 2 endpoint processes are lost and seen to have ended
    And job "k" crashes no endpoints any more
    Then durable job "k" is shown as "completed" within 9 s

  Scenario: runs of the new process aren't lost with the former one that the list shows as ended
    Given a group of 2 endpoints whose runs take 0.6 s
    When a holder with fence 16 takes over
    And the answers to renewals are lost
    And all endpoints restart, and the list shows it after 0.1 s
    And durable job "k" of 2 tasks is submitted
    And the list shows the new processes
    And renewals are answered again
    Then durable job "k" is shown as "completed" within 7 s
    And no crash has been counted
    And no task of job "k" ran twice at the same time

  Scenario Outline: endpoints that are cut off and whose processes end <later> don't fail a job
    Given a group of 6 endpoints whose runs take <run_time> s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" is cut off, and another process replaces its process <later>
    And the endpoint that runs job "k" is cut off, and another process replaces its process <later>
    And 2 endpoint processes are lost and seen to have ended
    Then durable job "k" is shown as "completed" within 9 s
    And 2 endpoint processes have crashed

    Examples:
      | run_time | later                      |
      | 1.2      | after the runs have lapsed |
      | 0.3      | after the runs are done    |

  Scenario: a task that ends whole hosts, which don't even refuse calls, takes no fifth one down
    Given a group of 6 endpoints whose runs take 0.3 s
    And job "k" crashes the endpoints that start it, which are back after 1.6 s
    And the endpoints come back under another identifier
    And the hosts of the endpoints are silent while they are down
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "failed" within 24 s
    And 4 endpoint processes have crashed

  Scenario: orders that idle endpoints never answer, as they had crashed before, don't fail a job
    Given time is simulated
    And a group of 6 endpoints whose runs take 0.3 s
    And the endpoints come back under another identifier
    And the hosts of the endpoints are silent while they are down
    When a holder with fence 16 takes over
    And 1 s have passed
    And the list goes on to name the former processes
    And all endpoints crash and are back after 14 s
    And durable job "k" of 1 task is submitted
    And 20 s have passed
    And the list names the new processes
    Then durable job "k" is shown as "completed" within 9 s

  Scenario: a refused call that an answer follows doesn't show that the process has ended
    Given a group of 6 endpoints whose runs take 3 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" refuses a call, answers and is cut off, and another process replaces its process after the runs have lapsed
    And the endpoint that runs job "k" refuses a call, answers and is cut off, and another process replaces its process after the runs have lapsed
    And 2 endpoint processes are lost and seen to have ended
    Then durable job "k" is shown as "completed" within 14 s
    And 2 endpoint processes have crashed

  Scenario: a refused call that silence follows doesn't show that the process has ended
    Given a group of 6 endpoints whose runs take 3 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" refuses a call and is cut off, and another process replaces its process after the runs have lapsed
    And the endpoint that runs job "k" refuses a call and is cut off, and another process replaces its process after the runs have lapsed
    And 2 endpoint processes are lost and seen to have ended
    Then durable job "k" is shown as "completed" within 14 s
    And 2 endpoint processes have crashed

  Scenario: endpoints that are cut off and whose processes end as soon as the runs have lapsed don't fail a job
    Given a group of 6 endpoints whose runs take 3 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" is cut off, and another process replaces its process as soon as the runs have lapsed
    And the endpoint that runs job "k" is cut off, and another process replaces its process as soon as the runs have lapsed
    And 2 endpoint processes are lost and seen to have ended
    Then durable job "k" is shown as "completed" within 14 s
    And 2 endpoint processes have crashed

  Scenario: endpoints that are cut off and whose processes end as soon as the runs are done don't fail a job
    Given a group of 6 endpoints whose runs take 0.5 s
    And the endpoints come back under another identifier
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And the endpoint that runs job "k" is cut off, and another process replaces its process as soon as the runs are done
    And the endpoint that runs job "k" is cut off, and another process replaces its process as soon as the runs are done
    And 2 endpoint processes are lost and seen to have ended
    Then durable job "k" is shown as "completed" within 9 s
    And 2 endpoint processes have crashed
