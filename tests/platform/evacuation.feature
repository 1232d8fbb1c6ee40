Feature: A failure domain is evacuated on the operator's request, and taken back

  Scenario: an evacuated failure domain gets no new tasks, and is used again once it is taken back
    Given a platform of 2 daemons and 2 runners whose tasks take 0.3 s
    And a platform runner in failure domain "b"
    Then platform jobs run in failure domain "b"
    When platform jobs fill both failure domains, and failure domain "b" is evacuated meanwhile
    Then no task of the platform starts in failure domain "b" later than 1 s after the request
    And the tasks that ran in failure domain "b" end as done
    When failure domain "b" is taken back
    Then platform jobs run in failure domain "b"
