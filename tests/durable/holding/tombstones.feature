Feature: A job that nobody had when it was cancelled isn't accepted later

  # Guards against a job that is accepted and runs after its cancelling was answered, as its
  # submission was on its way in a frozen daemon.
  Scenario Outline: a submission arrives after the cancelling was answered
    Given a daemon that holds the groups of the services "ledger" and "annex"
    When a caller cancels job "j1", which nobody has
    And <meanwhile>
    And the <kind> submission of job "j1" arrives
    Then the cancelling was answered that there is no such job
    And the submission is <answer>, and no task has started
    And callers are told that there is no job "j1"

    Examples:
      | kind        | meanwhile                                | answer                            |
      | durable     | nothing else happens                     | refused as not run                |
      | durable     | the group gets another holder            | refused as not run                |
      | durable     | its queue is sent to "annex"             | refused as not run                |
      | durable     | an earlier attempt of it may be stored   | refused as not run                |
      | best-effort | nothing else happens                     | answered with "cancelled"         |

  Scenario: the service of a job that was cancelled is divided later
    Given a daemon that knows no group of its services
    When a caller cancels job "j1", which nobody has
    And the services are divided
    And the durable submission of job "j1" arrives
    Then the cancelling was answered that there is no such job
    And the submission is refused as not run, and no task has started

  Scenario: a job is accepted between the holder's answer and the tombstone
    Given a daemon that holds the groups of the services "ledger" and "annex"
    And the submission of job "j1" is accepted just before its tombstone is stored
    When a caller cancels job "j1", which nobody has
    Then the cancelling was answered with "cancelled", and no run is left

  Scenario: the job's record was written before its tombstone, without an answer
    Given a daemon that holds the groups of the services "ledger" and "annex"
    And job "j1" is stored, which its holder doesn't know for certain
    And the tombstone of job "j1" is stored
    When a caller cancels job "j1", which nobody has
    And the group gets another holder
    Then no task has started, and the store holds no record of job "j1"

  Scenario: an open job has a tombstone, as the daemon that stored it was killed before it told the holder
    Given a daemon that holds the groups of the services "ledger" and "annex"
    When job "j1" of 4 tasks is accepted, and its tombstone is stored then
    And one of its tasks ends
    Then job "j1" ends as "cancelled", and no run is left

  Scenario: the store doesn't answer
    Given a daemon that holds the groups of the services "ledger" and "annex"
    And the store refuses all tombstones
    When a caller cancels job "j1", which nobody has
    Then the cancelling isn't confirmed

  Scenario: a tombstone's first write is lost
    Given a daemon that holds the groups of the services "ledger" and "annex"
    And the first write of a tombstone takes effect without an answer
    When a caller cancels job "j1", which nobody has
    Then the cancelling was answered that there is no such job

  Scenario: thousands of cancels of jobs that never were cost few writes
    Given a store, and a daemon's tombstones
    When 2000 jobs are cancelled at 500 a second
    Then each is confirmed within 0.5 s
    And the store got at most 200 transactions, none of more than 32 entries

  Scenario: some of the jobs have ended since their holders were asked
    Given a store, and a daemon's tombstones
    And the store has outcomes of jobs 3 and 11
    When jobs 1 to 20 are cancelled at once
    Then each is confirmed within 0.5 s
    And the store has tombstones of jobs 1 to 20 but 3 and 11

  Scenario: the number of tombstones is bounded
    Given a store, and a daemon's tombstones, of which it keeps 5 at most
    When jobs 1 to 6 are cancelled one after the other
    Then 5 are confirmed
    And one more is confirmed 301 s later

  Scenario: daemons of earlier versions read a tombstone as the outcome of a cancelled job
    Given a store, and a daemon's tombstones
    When jobs 1 to 1 are cancelled at once
    Then the stored outcome of job 1 has the state "cancelled", and expires like others
