Feature: A failure domain is evacuated on the operator's request, and taken back

  Scenario: an evacuated failure domain gets no new tasks, and is used again once it is taken back
    Given a platform of 2 daemons and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When platform jobs fill both failure domains, and failure domain "b" is evacuated meanwhile
    Then no task of the platform starts in failure domain "b" later than 1 s after the request
    And the tasks that ran in failure domain "b" end as done
    And the holder shows failure domain "b" as evacuated, without tasks
    When failure domain "b" is taken back
    Then platform jobs run in failure domain "b"
    And each live daemon has logged that failure domain "b" was evacuated and taken back

  Scenario: an evacuation is honoured by the holders that follow, also by one that just started
    Given a platform of 2 daemons and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When failure domain "b" is evacuated
    And the holder is killed
    And platform jobs are submitted for 3 s
    Then no task of the platform starts in failure domain "b" later than 1 s after the request
    When the killed daemon starts again and the other one is killed
    And platform jobs are submitted for 3 s
    Then no task of the platform starts in failure domain "b" later than 1 s after the request

  Scenario: the store refuses all calls as an evacuation is requested, and forgets its history
    Given a platform of 2 daemons and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When the platform's store refuses all calls
    And failure domain "b" is evacuated
    And platform jobs are submitted for 1 s
    And the platform's store forgets its history and serves all calls again
    And platform jobs are submitted for 3 s
    Then no task of the platform starts in failure domain "b" later than 2 s after the request
    When the platform's store refuses all calls
    And platform jobs are submitted for 2 s
    Then no task of the platform starts in failure domain "b" later than 2 s after the request

  Scenario: a holder that is cut off from the store hears of an evacuation from another daemon
    Given a platform of 3 daemons and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When platform jobs are submitted for 5 s from the evacuation of failure domain "b" on, while the holder is cut off
    Then no task of the platform starts in failure domain "b" later than 3 s after the request
    And the holder that is cut off has learned of failure domain "b" from another daemon
    When failure domain "b" is taken back
    Then platform jobs run in failure domain "b"

  Scenario: a watch that reports no changes can't hide an evacuation
    Given a platform of 1 daemon and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When the platform's store reports no changes
    And failure domain "b" is evacuated
    And platform jobs are submitted for 8 s
    Then no task of the platform starts in failure domain "b" later than 5 s after the request

  Scenario: requests that name no failure domain are skipped, and the others hold
    Given a platform of 1 daemon and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    When the platform's operator writes these keys:
      | key             |
      | op/evacuate/    |
      | op/evacuate/a/b |
      | op/evacuate/a b |
      | op/evacuate     |
      | op/wave/1       |
    And failure domain "b" is evacuated
    And platform jobs are submitted for 3 s
    Then no task of the platform starts in failure domain "b" later than 1 s after the request
    And daemon 0 has logged 3 requests to evacuate that it skipped, once each

  Scenario: a configuration and an evacuation that are written together both take effect
    Given a platform of 1 daemon and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    When failure domain "b" is evacuated
    And the platform's configuration replaces the old prefix by "/visits/"
    Then each daemon accepts jobs under "/visits/" within 2 s and answers 404 under the old prefix
    And each live daemon has logged that failure domain "b" was evacuated
