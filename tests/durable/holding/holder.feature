Feature: The holder runs the jobs of its endpoint group

  Scenario: a job is run and its caller receives the outcome
    Given a group of 3 endpoints whose runs take 0.05 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    Then job "a" ends as "completed"
    And each task of job "a" was done once

  Scenario: a job fails after the last attempt of a failing task
    Given a group of 3 endpoints whose runs take 0.02 s
    And every run of job "a" fails
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 3 runs of job "a" were started

  Scenario: endpoints reject the orders of one job, and other jobs go on
    Given a group of 4 endpoints whose runs take 0.02 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And 0 runs of job "a" were started
    And no endpoint is quarantined

  Scenario: orders that endpoints reject don't count as failed runs
    Given a group of 4 endpoints whose runs take 0.02 s
    And endpoints 1 and 2 reject every order of job "k"
    And the first run of job "k" at each other endpoint fails
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 7 s
    And 3 runs of job "k" were started

  Scenario: a job whose orders endpoints reject ends after a silent endpoint, and other jobs run
    Given time is simulated
    And a group of 3 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And endpoint 3 is cut off from holders with fence 16
    And durable job "a" of 1 task is submitted
    And 6 s have passed
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed" within 1 s
    And durable job "a" is shown as "running" within 1 s
    When endpoint 3 is reached by all holders after 0 s
    Then durable job "a" is shown as "failed" within 5 s

  Scenario: a best-effort job whose orders endpoints reject ends beside a silent endpoint
    Given time is simulated
    And a group of 3 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And endpoint 3 is cut off from holders with fence 16
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed" within 7 s

  Scenario: rejected orders of one job don't close endpoints to other jobs
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And durable job "a" of 8 tasks is submitted
    Then no endpoint is quarantined
    When 0.3 s have passed
    Then no endpoint is quarantined

  Scenario: endpoints that reject what others carry out get no tasks for a while
    Given time is simulated
    And a group of 4 endpoints whose runs take 0.1 s
    And endpoints 1 and 2 reject every order of job "k"
    And endpoints 1 and 2 reject every order of job "l"
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And job "k" of 12 tasks is submitted
    Then job "k" ends as "completed"
    And no endpoint is quarantined
    When job "l" of 12 tasks is submitted
    Then job "l" ends as "completed"
    And endpoints 1 and 2 are quarantined

  Scenario: orders that are refused for an unknown reason don't fail a job
    Given a group of 2 endpoints whose runs take 0.02 s
    And the next 3 orders at each endpoint are refused for an unknown reason
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 7 s
    And 1 runs of job "k" were started

  Scenario: a durable job isn't failed by the one endpoint at fault that is listed
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.1 s
    And endpoint 1 rejects every order of job "k"
    And only endpoint 1 is listed
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 6 s have passed
    And all endpoints are listed
    Then durable job "k" is shown as "completed" within 7 s

  Scenario: a durable job isn't failed by the one endpoint at fault that answers
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.1 s
    And endpoint 1 rejects every order of job "k"
    And endpoint 2 is cut off from holders with fence 16
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 20 s have passed
    Then endpoint 1 has rejected at most 9 orders
    When endpoint 2 is reached by all holders after 0 s
    Then durable job "k" is shown as "completed" within 7 s

  Scenario: a durable job isn't failed by as many endpoints at fault as it has attempts
    Given time is simulated
    And a group of 8 endpoints whose runs take 0.1 s
    And all endpoints but the last reject every order of job "k"
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 4 s

  Scenario Outline: a durable job isn't failed by the endpoints at fault while others <are away>
    Given time is simulated
    And a group of 4 endpoints whose runs take 0.1 s
    And endpoints 1 and 2 reject every order of job "k"
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And endpoints 3 and 4 <are away>
    And durable job "k" of 1 task is submitted
    And 20 s have passed
    Then the endpoints have rejected at most 10 orders altogether
    When endpoints 3 and 4 are back
    Then durable job "k" is shown as "completed" within 7 s

    Examples:
      | are away                 |
      | are silent               |
      | are leaving              |
      | are missing in the list  |
      | are in an evacuated zone |

  Scenario: a durable job isn't failed while a new process of an endpoint at fault may run it
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.1 s
    And endpoints 1 and 2 reject every order of job "k"
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And durable job "k" of 1 task is submitted
    And the process of endpoint 2 is replaced under its identifier by one that rejects nothing
    Then durable job "k" is shown as "completed" within 7 s

  Scenario: a durable job whose orders endpoints reject isn't kept open for endpoints that are gone
    Given time is simulated
    And a group of 4 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And endpoints 3 and 4 are silent
    And endpoints 3 and 4 are missing in the list
    And durable job "a" of 1 task is submitted
    Then durable job "a" is shown as "failed" within 40 s

  Scenario: a durable job isn't failed by orders that are rejected for want of a ticket
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.1 s
    And every order of job "k" is rejected for want of a ticket
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And durable job "k" of 1 task is submitted
    And 20 s have passed
    Then the endpoints have rejected at most 9 orders altogether
    When orders of job "k" need no ticket any more
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed" within 1 s
    And no endpoint is quarantined
    And durable job "k" is shown as "completed" within 5 s

  Scenario: best-effort orders that are rejected widely aren't tried at all endpoints of a group
    Given time is simulated
    And a group of 8 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed" within 1 s
    And the endpoints have rejected 3 orders altogether

  Scenario: durable orders that are rejected widely are tried once at each endpoint, in turn
    Given time is simulated
    And a group of 8 endpoints whose runs take 0.1 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And 0.5 s have passed
    And durable job "a" of 1 task is submitted
    And 0.4 s have passed
    Then the endpoints have rejected 3 orders altogether
    And durable job "a" is shown as "failed" within 4 s
    And the endpoints have rejected 8 orders altogether

  Scenario: a job whose orders the only endpoint rejects fails after all attempts
    Given a group of 1 endpoint whose runs take 0.02 s
    And every order of job "a" is rejected
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "failed"
    And endpoint 1 has rejected 3 orders

  Scenario: an order takes effect and its answer is lost
    Given a group of 1 endpoint whose runs take 0.3 s
    And the answers of the next 2 starts are lost
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    Then job "a" ends as "completed"
    And each task of job "a" was done once
    And 2 runs of job "a" were started

  Scenario: an order is carried out late
    Given a group of 1 endpoint whose runs take 0.3 s
    And the next 1 start is carried out 0.3 s late
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: a new holder takes over the runs of a job that is submitted again
    Given a group of 3 endpoints whose runs take 0.4 s
    When a holder with fence 16 takes over
    And job "a" of 6 tasks is submitted
    And a holder with fence 32 takes over after 0.15 s
    And job "a" of 6 tasks is submitted again
    Then job "a" ends as "completed"
    And each task of job "a" was done once
    And 6 runs of job "a" were started

  Scenario: a job that is submitted again waits for endpoints that still obey the former holder
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    And endpoint 2 is cut off from holders with fence 32
    And a holder with fence 32 takes over after 0.15 s
    And endpoint 1 loses its runs
    And job "a" of 2 tasks is submitted again
    And endpoint 2 is reached by all holders after 0.5 s
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: jobs are submitted again long after the takeover, when endpoints are reachable again
    Given a group of 2 endpoints whose runs take 0.9 s
    And endpoint 2 is cut off from holders with fence 17
    When a holder with fence 17 takes over
    And a holder with fence 16 runs at the same time
    And 3.2 s have passed
    And job "a" of 2 tasks is submitted to the holder with fence 16
    And endpoint 2 is reached by all holders after 0.2 s
    And job "a" of 2 tasks is submitted again
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: a new holder waits for tasks of a provisional holder at endpoints that are not listed
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 17 takes over
    And job "a" of 2 tasks is submitted
    And the holder with fence 17 ends, after which endpoint 1 is missing in the list
    And a holder with fence 32 takes over that knows of no endpoints used by the holder with fence 16
    And job "a" of 2 tasks is submitted again after the holder with fence 17
    Then job "a" ends as "completed"
    And no task of job "a" ran twice at the same time

  Scenario: a new holder waits for durable tasks of a former one at endpoints that are not listed
    Given a group of 2 endpoints whose runs take 2.5 s
    When a holder with fence 16 takes over
    And durable job "a" of 1 task is submitted
    And the endpoint that runs job "a" is missing in the list
    And the store turns the holder with fence 16 away
    And a holder with fence 32 takes over
    And 2.2 s have passed
    Then no task of job "a" ran twice at the same time
    And durable job "a" is shown as "completed" within 10 s

  Scenario: a new holder waits for endpoints that left the list before a heartbeat named their runs
    Given a group of 2 endpoints whose runs take 2.5 s
    When a holder with fence 16 takes over
    And durable job "a" of 1 task is submitted
    And the endpoint that runs job "a" is missing in the list
    And the store turns the holder with fence 16 away
    And a holder with fence 32 takes over that knows of no endpoints used by the holder with fence 16
    And 2.2 s have passed
    Then no task of job "a" ran twice at the same time
    And durable job "a" is shown as "completed" within 10 s

  Scenario: tasks of an endpoint that is cut off start elsewhere once its leases have lapsed
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    And endpoint 1 is cut off from holders with fence 16
    Then job "a" ends as "completed" within 3.5 s
    And no task of job "a" ran twice at the same time

  Scenario: two holders that each reach a part of the endpoints run nothing twice
    Given a group of 2 endpoints whose runs take 2.5 s
    When a holder with fence 17 takes over
    And job "a" of 4 tasks is submitted
    And endpoint 2 is cut off from holders with fence 17
    And endpoint 1 is cut off from holders with fence 32
    And a holder with fence 32 takes over after 0.6 s
    And 6 s have passed
    Then no task of job "a" ran twice at the same time
    And job "a" ends as "completed" at the holder with fence 17

  Scenario: a new holder that is cut off at once has extended no lease that the former one counts as lapsed
    Given a group of 2 endpoints whose runs take 2.5 s
    When a holder with fence 17 takes over
    And job "a" of 4 tasks is submitted
    And endpoint 1 is cut off from holders with fence 17
    And endpoint 2 is cut off from holders with fence 32
    And a holder with fence 32 takes over after 0.6 s
    And endpoint 1 is cut off from holders with fence 32
    And 6 s have passed
    Then no task of job "a" ran twice at the same time
    And job "a" ends as "completed" at the holder with fence 17

  Scenario: a new holder starts nothing on an endpoint that left since it read the list on standby
    Given a group of 2 endpoints whose runs take 0.3 s
    And endpoint 1 begins to leave while the next read of the list takes 0.2 s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    Then job "a" ends as "completed"
    And endpoint 1 has started no runs

  Scenario: a new holder uses the list that it has read on standby while the store is silent
    Given a group of 2 endpoints whose runs take 0.3 s
    And the list of endpoints can't be read any more
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    Then job "a" ends as "completed"

  Scenario: an endpoint that was cut off while it ran nothing gets tasks again
    Given a group of 1 endpoint whose runs take 0.3 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And endpoint 1 is cut off from holders with fence 16
    And 1.6 s have passed
    And endpoint 1 is reached by all holders after 0.1 s
    And 0.3 s have passed
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed"

  Scenario: a job is stopped when its caller disconnects
    Given a group of 1 endpoint whose runs take 5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And the caller of job "a" disconnects after 0.1 s
    Then nothing runs at any endpoint within 0.3 s

  Scenario: the stop of a dropped job is lost, and starts of others don't keep its run alive
    Given a group of 1 endpoint whose runs take 3 s
    When a holder with fence 16 takes over
    And job "a" of 1 task with an estimate of 3 s is submitted, due 1 s after that
    And the endpoint leaves orders to stop and renewals unanswered from now on
    And the caller of job "a" disconnects after 0.35 s
    And 0.1 s have passed
    And job "b" of 1 task is submitted
    Then the run of job "a" ends within 1 s of its drop

  Scenario: a job that was dropped before it began runs when it comes again
    Given time is simulated
    And a group of 1 endpoint whose runs take 2 s
    When a holder with fence 16 takes over
    And job "a" of 3 tasks is submitted
    And 3 runs of job "a" have been started
    And job "b" of 1 task is submitted
    And the caller of job "b" disconnects after 0.1 s
    And job "b" of 1 task is submitted
    Then job "b" ends as "completed"

  Scenario: a job that was dropped after it began is never answered as cancelled when it comes again
    Given a group of 1 endpoint whose runs take 0.5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And the caller of job "a" disconnects after 0.1 s
    And job "a" of 1 task is submitted
    Then job "a" was abandoned within 1 s

  Scenario: a late drop of an earlier call leaves the job to the call that came since
    Given a group of 1 endpoint whose runs take 0.5 s
    When a holder with fence 16 takes over
    And call 1 submits job "a" of 1 task
    And call 2 submits job "a" of 1 task
    And attempt 0 of call 1 for job "a" is withdrawn
    Then job "a" ends as "completed"

  Scenario: a late drop of an earlier attempt leaves the job to the attempt that came since
    Given a group of 1 endpoint whose runs take 0.5 s
    When a holder with fence 16 takes over
    And call 1 submits job "a" of 1 task
    And call 1 submits job "a" of 1 task as attempt 1
    And attempt 0 of call 1 for job "a" is withdrawn
    Then job "a" ends as "completed"

  Scenario: a caller that joins a job of a former holder isn't sent elsewhere when the tenure ends
    Given a group of 1 endpoint whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And endpoint 1 is cut off from holders with fence 32
    And a holder with fence 32 takes over after 0.1 s
    And job "a" of 1 task is submitted again
    And call 2 submits job "a" of 1 task
    And the holder with fence 32 ends
    Then job "a" ends with an error that says that it may have begun

  Scenario: a caller that joins a job of a former holder isn't refused when it can't end in time
    Given a group of 1 endpoint whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And endpoint 1 is cut off from holders with fence 32
    And a holder with fence 32 takes over after 0.1 s
    And job "a" of 1 task is submitted again, whose caller waits for 0.3 s
    And call 2 submits job "a" of 1 task
    Then job "a" ends with an error that says that it may have begun

  Scenario: a caller disconnects just when its task is ordered
    Given a group of 1 endpoint whose runs take 5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is ordered and its caller disconnects at that moment
    Then nothing runs at any endpoint within 0.3 s
    And the holder with fence 16 is still running

  Scenario: a job that has begun and can't end in time is abandoned at once
    Given a group of 1 endpoint whose runs take 1.5 s
    When a holder with fence 16 takes over
    And urgent job "a" of 5 tasks is submitted
    Then job "a" was abandoned within 1 s
    And nothing runs at any endpoint within 0.3 s

  Scenario: a long task at a slow endpoint is not mistaken for a stalled one
    Given a group of 1 endpoint whose runs take 220 s
    When a holder with fence 16 takes over
    And a durable job "a" of 1 task with an estimate of 120 s is submitted
    And 3 s have passed
    Then 1 runs of job "a" were started

  Scenario: a run on an endpoint that turns slow is stopped, and its task is done elsewhere
    Given time is simulated
    And a group of 3 endpoints whose runs take 0.6 s
    When a holder with fence 16 takes over
    And 6 jobs of 3 tasks with an estimate of 0.6 s are completed one after the other
    And job "a" of 1 task with an estimate of 0.6 s is submitted, due 0.1 s after that
    And the endpoint that runs job "a" turns 10 times slower after 0.2 s
    Then job "a" ends as "completed" within 2.5 s
    And 2 runs of job "a" were started
    And no task of job "a" ran twice at the same time

  Scenario: a run on an endpoint that turns slow stays there while no other one has room
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.6 s
    When a holder with fence 16 takes over
    And 6 jobs of 3 tasks with an estimate of 0.6 s are completed one after the other
    And job "a" of 1 task with an estimate of 0.6 s is submitted, due 0.1 s after that
    And the endpoint that runs job "a" turns 4 times slower after 0.2 s
    Then job "a" ends as "completed" within 3.5 s
    And 1 runs of job "a" were started

  Scenario: a waiting job is refused by the run times that were learned while it waited
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.9 s
    When a holder with fence 16 takes over
    And 4 jobs of 3 tasks without an estimate are submitted, whose callers wait for 3 s
    Then the last of these jobs is refused within 2.6 s

  Scenario: a job whose order no endpoint has answered counts as pending
    Given time is simulated
    And a group of 1 endpoint whose runs take 30 s
    And the hosts of the endpoints are silent while they are down
    When a holder with fence 16 takes over
    And 1 s have passed
    And the list goes on to name the former processes
    And all endpoints crash and are back after 4 s
    And durable job "k" of 1 task is submitted
    And 2 s have passed
    Then 1 job is pending
    When the list names the new processes
    And 9 s have passed
    Then 0 jobs are pending

  Scenario: a late job whose tasks all run is not abandoned
    Given a group of 2 endpoints whose runs take 1.0 s
    When a holder with fence 16 takes over
    And urgent job "a" of 5 tasks is submitted
    Then job "a" ends as "completed"

  Scenario: an entry daemon that is reachable again resubmits its dropped job
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.5 s
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    And no more messages arrive from the entry daemon
    Then job "a" was interrupted
    When messages arrive from the entry daemon again
    And job "a" of 2 tasks is submitted again
    Then job "a" ends as "completed"
    And each task of job "a" was done once
    And no task of job "a" ran twice at the same time

  Scenario: jobs are dropped when no messages arrive from their entry daemon
    Given a group of 1 endpoint whose runs take 5 s
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And no more messages arrive from the entry daemon
    Then nothing runs at any endpoint within 0.3 s

  Scenario: a durable job is stored before it starts, and its outcome once it has ended
    Given a group of 2 endpoints whose runs take 0.05 s
    When a holder with fence 16 takes over
    And durable job "k" of 3 tasks is submitted
    Then durable job "k" is shown as "completed" within 1 s
    And the store holds the outcome of job "k" and not the job

  Scenario: outcomes that nobody may ask for any more are removed from the store
    Given a group of 1 endpoint whose runs take 0.05 s
    And the store holds the outcomes of jobs that ended 10, 200 and 400 s ago
    When a holder with fence 16 takes over and sweeps at once
    Then the store holds the outcomes of jobs that ended 10 and 200 s ago

  Scenario: many expired outcomes are removed in few transactions
    Given a group of 1 endpoint whose runs take 0.05 s
    And the store holds the outcomes of 100 jobs that ended 400 s ago
    And one of them is replaced while a holder reads them
    When a holder with fence 16 takes over and sweeps at once
    Then the store holds the replaced outcome only, after at most 40 transactions

  Scenario: a durable job continues under a new holder, from the ends that endpoints remember
    Given a group of 2 endpoints whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 6 tasks is submitted
    And a holder with fence 32 takes over after 0.45 s
    Then durable job "k" is shown as "completed" within 3 s
    And each task of job "k" was done once

  Scenario: endpoints report the runs of a durable job before a new holder has loaded it
    Given a group of 3 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And durable job "k" of 3 tasks is submitted
    And the store answers reads of several keys 0.4 s late
    And a holder with fence 32 takes over after 0.1 s
    Then durable job "k" is shown as "completed" within 3 s
    And 3 runs of job "k" were started
    And each task of job "k" was done once

  Scenario: endpoints report the ends of a durable job's runs before a new holder has loaded it
    Given a group of 3 endpoints whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 3 tasks is submitted
    And the store answers reads of several keys 0.8 s late
    And a holder with fence 32 takes over after 0.1 s
    Then durable job "k" is shown as "completed" within 3 s
    And 3 runs of job "k" were started
    And the store holds the outcome of job "k" and not the job

  Scenario: a provisional holder leaves the ends of a durable job to the next holder with a claim
    Given a group of 3 endpoints whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 6 tasks is submitted
    And a holder with fence 17 takes over after 0.1 s
    And 1.8 s have passed
    And a holder with fence 32 takes over
    Then durable job "k" is shown as "completed" within 3 s
    And 6 runs of job "k" were started
    And each task of job "k" was done once

  Scenario: the reply to the commit of a job is lost, and the commit is repeated
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.05 s
    And the answer to the next commit is lost
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 1 s

  Scenario: a durable job is refused while the job store is unavailable
    Given a group of 1 endpoint whose runs take 0.05 s
    When a holder with fence 16 takes over
    And the job store is unavailable
    Then durable job "k" is refused
    And 0 runs of job "k" were started

  Scenario: a cancelled durable job is stored as cancelled, and its runs are stopped
    Given a group of 1 endpoint whose runs take 5 s
    When a holder with fence 16 takes over
    And durable job "k" of 2 tasks is submitted
    And durable job "k" is cancelled after 0.1 s
    Then durable job "k" is shown as "cancelled" within 1 s
    And nothing runs at any endpoint within 0.3 s

  Scenario: an endpoint whose last run has ended is not called only to let it forget the end
    Given a group of 1 endpoint whose runs take 0.05 s
    When a holder with fence 16 takes over
    And 10 jobs of 1 task are run one after the other
    Then the endpoint was polled at most 15 times
    And within 2 s the endpoint has forgotten all ends
    And the endpoint was polled at most 16 times

  Scenario Outline: a holder whose calls of the store get no answer ends before its successors start its tasks
    Given time is simulated
    And a group of 1 endpoint whose runs take 9 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And calls of the store by the holder with fence 16 get no answer for <silence_s> s each
    Then the leases of the holder with fence 16 lapse within the time that its successors wait

    Examples:
      | silence_s |
      | 0.4       |
      | 0.7       |
      | 3.0       |
