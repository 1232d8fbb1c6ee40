Feature: Decisions about jobs, without a clock or a network

  Scenario Outline: a lease has lapsed only when even a slow clock has passed its end
    Given an endpoint's clock showed 5000 ms, asked at 10.0 s and answered at 10.2 s
    When a lease of 1 s is sent at <sent> s
    Then it ends at <end> ms on the endpoint's clock
    And it has certainly lapsed after <lapsed> s

    Examples:
      | sent | end  | lapsed |
      | 10.2 | 6000 | 11.281 |
      | 10.5 | 6300 | 11.587 |

  Scenario: an answer that overtook a newer one does not set the clock back
    Given an endpoint's clock showed 5000 ms, asked at 10.0 s and answered at 10.2 s
    When the endpoint's clock showed 4900 ms, asked at 9.8 s and answered at 10.3 s
    And a lease of 1 s is sent at 10.2 s
    Then it ends at 6000 ms on the endpoint's clock

  Scenario Outline: a service with many endpoints is divided into groups
    Given a service of <endpoints> endpoints
    Then it has <groups> groups, every endpoint and job belongs to one, and none is twice the mean

    Examples:
      | endpoints | groups |
      | 1         | 1      |
      | 24        | 1      |
      | 48        | 1      |
      | 49        | 2      |
      | 176       | 4      |
      | 1600      | 34     |

  Scenario Outline: the number of groups follows from what the VMs can carry
    Given a service of <endpoints> endpoints and VMs of <vms>
    Then it is divided into <groups> groups

    Examples:
      | endpoints | vms                                                              | groups |
      | 24        | 6 x 1.07 cores 1000 Mbit/s                                       | 1      |
      | 45        | 18 x 0.12 cores 2 Mbit/s                                         | 12     |
      | 270       | 15 x 2.15 cores 200 Mbit/s, 59 x 0.387 cores 20 Mbit/s           | 6      |
      | 270       | 2 x 2.15 cores 200 Mbit/s, 95 x 0.387 cores 20 Mbit/s            | 21     |
      | 270       | 97 x 2.15 cores 5 Mbit/s                                         | 16     |
      | 270       | 3 x 0.12 cores 2 Mbit/s                                          | 68     |

  Scenario: endpoints that are added go to the groups with least capacity
    Given 45 endpoints of 64 and 96 cores that are assigned to 12 groups
    Then no group has over 25% more capacity than the mean
    When 9 of them are removed and 15 endpoints are added
    Then no group has over 25% more capacity than the mean
    And no endpoint has changed its group

  Scenario: a stored division is read back, and a damaged one is refused
    Then 4 groups are stored and read, and damaged divisions are refused

  Scenario Outline: a service is divided only when its list has settled
    Given reads of the endpoint list that found <first> and <second> endpoints
    Then the list <state> settled

    Examples:
      | first | second | state  |
      | 24    | 24     | has    |
      | 20    | 24     | has not |
      | 0     | 0      | has not |

  Scenario: run times are learnt for queues and endpoints
    Given 40 tasks of queue "q" with an estimate of 0.1 s took 0.2 s at "fast" and 0.4 s at "slow"
    Then "fast" is about twice as fast as "slow"
    And a task of queue "q" with an estimate of 0.1 s is expected to take longer than 0.12 s

  Scenario: what a holder has learnt is stored, and its successor begins with it
    Given 40 tasks of queue "q" with an estimate of 0.1 s took 0.2 s at "fast" and 0.4 s at "slow"
    When the learned run times are stored and read by a new daemon
    Then "fast" is about twice as fast as "slow"
    And a task of queue "q" with an estimate of 0.1 s is expected to take longer than 0.12 s
    And a daemon with more finished tasks keeps its own, and damaged ones are refused

  Scenario: of waiting jobs the one that can still end in time goes first
    Given waiting jobs:
      | job  | age_s | run_time_s | objective_s |
      | late | 0.5   | 0.2        | 0.4         |
      | gone | 5.0   | 0.2        | 0.4         |
      | easy | 0.0   | 0.2        | 2.0         |
      | soon | 0.1   | 0.2        | 0.4         |
    Then they start in the order "soon easy late gone"

  Scenario: a task goes to the faster endpoint, and away from one where it failed
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    When a task of 20 cores is placed
    Then it runs at "b"
    When a task of 20 cores that failed at "b" is placed
    Then it runs at "a"

  Scenario: a task doesn't wait for a faster endpoint that is too small for it
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    When the capacity of endpoint "b" has shrunk to 8 cores
    And a task of 20 cores with an objective of 0.2 s is placed
    Then it runs at "a"

  Scenario: a run that is being stopped still uses resources
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    When endpoint "b" has 50 cores in use by a run that is being stopped
    And a task of 20 cores is placed
    Then it runs at "a"

  Scenario Outline: an endpoint is quarantined after repeated failures, not after a single one
    Given an endpoint that failed <failures> tasks that had not failed elsewhere
    Then it accepts <accepts> tasks after 0.1 s

    Examples:
      | failures | accepts |
      | 1        | new     |
      | 2        | no      |

  Scenario: ends of runs are acknowledged in order, once the endpoint may forget them
    Given an endpoint that reported the ends 1, 2 and 3
    When the endpoint may forget the ends 1 and 3
    Then the ends up to 1 are acknowledged
    When the endpoint may forget the end 2
    Then the ends up to 3 are acknowledged

  Scenario Outline: a job is refused at once if its answer would come too late
    Given 2 endpoints of 64 cores with <busy> s of work for each
    When a job of <tasks> tasks of 20 cores and 0.2 s and an objective of 0.4 s is submitted
    Then the job is <verdict>

    Examples:
      | busy | tasks | verdict  |
      | 0    | 4     | accepted |
      | 0.5  | 4     | accepted |
      | 3    | 4     | refused  |
      | 0    | 60    | refused  |

  Scenario Outline: jobs that no endpoint can run do not block later jobs
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    And 40 earlier jobs whose tasks need <need>
    When a task of 20 cores is placed
    Then it runs at "b"

    Examples:
      | need               |
      | 200 cores          |
      | a label of nobody  |
      | 300 GB of memory   |

  # Guards against a small job that stands still beside free processors, behind jobs that wait for
  # what it doesn't need.
  Scenario Outline: jobs that wait for other things than processors don't keep a job from these
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    And 300 earlier jobs of 4 tasks that <wait>
    When they and a late task of 10 cores are placed
    Then the late task is started, and <started> tasks of the earlier jobs

    Examples:
      | wait                                         | started |
      | are limited to one task per endpoint         | 600     |
      | need 100 of the 128 GB of an endpoint        | 2       |
      | need 40 cores at "b", by a label             | 1       |

  Scenario: a job at its limits gets an endpoint that has come
    Given endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each
    And 300 earlier jobs of 4 tasks that are limited to one task per endpoint
    When they and a late task of 10 cores are placed
    And endpoint "c" takes the place of "a", and they are placed again
    Then 300 tasks of the earlier jobs are started at "c"

  Scenario: the tasks of a step that should stay within a rack go where all of them fit
    Given racks "r1" of 1 fast endpoint and "r2" of 2 slow ones, with 64 cores each
    When a step of 5 tasks of 20 cores that should stay within a rack is placed
    Then all 5 of its tasks run in rack "r2"

  Scenario: a step that fits in no rack is spread rather than kept waiting
    Given racks "r1" of 1 fast endpoint and "r2" of 2 slow ones, with 64 cores each
    When a step of 8 tasks of 20 cores that should stay within a rack is placed
    Then all 8 of its tasks run

  Scenario: data in a rack counts as much as the settings say
    Given racks "r1" of 1 fast endpoint and "r2" of 2 slow ones, with 64 cores each
    When a task whose data is in rack "r2" is placed, with a cost of 1.2 elsewhere
    Then all 1 of its tasks run in rack "r1"
    When a task whose data is in rack "r2" is placed, with a cost of 4 elsewhere
    Then all 1 of its tasks run in rack "r2"
