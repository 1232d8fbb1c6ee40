Feature: A best-effort job that comes again runs only after its earlier runs are over

  Scenario: the entry's stream to the holder breaks as the caller leaves, and the drop is lost
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    When its stream to the job's holder breaks and the caller disconnects
    And the job comes again 1.3 s later to the other daemon, which finds more room in the other group
    Then the job has begun again, and no task ran twice at the same time

  Scenario: all streams of the entry break as the caller leaves, and are open again at once
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    When all its streams break and the caller disconnects
    And the job comes again 1.3 s later to the other daemon, which finds more room in the other group
    Then the job has begun again, and no task ran twice at the same time

  Scenario: the holder reads a job and its drop at once, and opens the job after the drop
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    And the entry's stream to each holder stalls
    And a second job is submitted through it, whose caller disconnects
    When the streams go on
    Then the second job doesn't run within 0.5 s

  Scenario: the entry's stream to the holder goes silent, and the drop is lost in it
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    When its stream to the job's holder goes silent for good and the caller disconnects
    Then nothing runs anywhere within 1.0 s

  Scenario: a holder of an earlier version, which takes drops as notices only, stops the job
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    And the holders are of a version that takes drops as notices only
    When the caller disconnects
    Then nothing runs anywhere within 0.5 s

  Scenario: the caller leaves while its entry knows no holder, and nobody is told
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job
    When the entry has lost sight of the job's holder and the caller disconnects
    And the job comes again 1.3 s later to the other daemon, which finds more room in the other group
    Then the job has begun again, and no task ran twice at the same time

  Scenario: a former holder, unaware of its successor, still hears the entry and goes on with its job
    Given 2 groups of 2 endpoints with a holder each, and 2 more daemons, of which one gets a job
    When the other daemon becomes the holder of its group, and neither holder hears of the other
    And neither reaches the endpoint that the other one reaches
    And 4 s have passed in this play
    Then no task has run twice at the same time in this play

  # Guards against done tasks that run again because a slow entry daemon is taken for a gone one.
  Scenario: a new holder keeps what is done of a job until its slow entry submits it again
    Given 2 groups of 1 endpoint with a holder each, and 2 more daemons, of which one gets a job of 0.8 s
    When the holder's tenure ends, and the entry hears of the next holder 0.6 s later
    Then the job is completed, and each task was started once
