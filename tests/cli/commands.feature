Feature: berylctl says on one line what went wrong, and each kind has its own exit status

  Background:
    Given berylctl is configured with two fake daemons

  Scenario Outline: Wrong arguments and settings are found before anything is sent
    When the user runs "<arguments>"
    Then berylctl exits with <status> and the error "<code>"

    Examples:
      | arguments                                          | status           | code             |
      |                                                    | USAGE_ERROR      | usage_error      |
      | frobnicate                                         | USAGE_ERROR      | usage_error      |
      | submit --count 3                                   | USAGE_ERROR      | usage_error      |
      | submit --service s --count 3 --run-time-s 2:1      | USAGE_ERROR      | usage_error      |
      | submit --service s --count 3 --timeout-s nan       | USAGE_ERROR      | usage_error      |
      | submit --service s --count 3 --token abc           | USAGE_ERROR      | usage_error      |
      | submit no-such-file.json                           | USAGE_ERROR      | file_invalid     |
      | get pools --output xml                             | USAGE_ERROR      | usage_error      |
      | get pools --url ftp://10.0.0.1                     | SETTINGS_INVALID | settings_invalid |
      | apply no-such-file.json                            | USAGE_ERROR      | file_invalid     |

  Scenario: Help is no error
    When the user runs "--help"
    Then berylctl exits with SUCCESS and prints "daemon"

  Scenario: No daemon is there
    When the user runs "get pools --url http://127.0.0.1:1"
    Then berylctl exits with CANNOT_CONNECT and the error "cannot_connect"

  Scenario: Generated tasks are submitted and answered, with seeded run times
    When the user runs "submit --service s --count 310 --run-time-s 0.05:1 --seed 7"
    And the user runs "submit --service s --count 310 --run-time-s 0.05:1 --seed 7"
    Then berylctl exits with SUCCESS and prints "t310"
    And both jobs had the same 310 tasks of 0.05 to 1 s

  Scenario: A job comes from standard input
    Given standard input is '{"service": "s", "tasks": [{"id": "t1", "payload": 5}]}'
    When the user runs "submit"
    Then berylctl exits with SUCCESS and prints "t1"

  Scenario: A misspelt field of a job is named
    Given standard input is '{"service": "s", "tasks": [{"id": "t1", "paylaod": 5}]}'
    When the user runs "submit -"
    Then berylctl exits with USAGE_ERROR and the error "file_invalid"
    And the error contains "tasks.0.paylaod"

  Scenario Outline: A job's end decides on the exit status
    Given the first fake daemon will <fault>
    When the user runs "submit --service s --count 3 --timeout-s 5"
    Then berylctl exits with <status> and the error "<code>"

    Examples:
      | fault           | status          | code            |
      | REFUSE          | NOT_RUN         | team_queue_full |
      | REFUSE_FOR_GOOD | NOT_RUN         | task_never_fits |
      | FAIL            | JOB_FAILED      | task_failed     |
      | UNKNOWN         | OUTCOME_UNKNOWN | home_gone       |

  Scenario: A job that is still running after the wait can be queried and cancelled
    Given the first fake daemon will STAY_RUNNING
    When the user runs "submit --service s --count 3 --wait-s 0"
    Then berylctl exits with TIMED_OUT and the error "still_running"
    And the error contains "berylctl status a-0"
    When the user runs "status a-0"
    Then berylctl exits with SUCCESS and prints "done"
    When the user runs "cancel a-0"
    Then berylctl exits with SUCCESS and prints "cancelled"
    When the user runs "status a-1"
    Then berylctl exits with NOT_RUN and the error "job_not_found"

  Scenario: A single request prints the endpoint's answer as it is
    Given standard input is '{"hours": 2}'
    When the user runs "request ledger"
    Then berylctl exits with SUCCESS and prints exactly '{"hours": 2}'

  Scenario: Progress is for terminals only
    When the user runs "submit --service s --count 3"
    Then berylctl exits with SUCCESS and prints "t3"
    And standard error is empty
    When the user runs "submit --service s --count 3" on a terminal
    Then berylctl exits with SUCCESS and prints "t3"
    And standard error contains "3 tasks submitted"

  Scenario: The token comes from the environment and is sent
    Given the variable BERYLPROXY_TOKEN is "team-token"
    When the user runs "submit --service s --count 3 --team x"
    Then berylctl exits with SUCCESS and prints "t3"
    And the fake daemons received the team "x" and the token "team-token"

  Scenario: Records are applied once, compared and deleted
    Given a file of the records pools/oak and endpoints/e1
    When the user runs "validate FILE"
    Then berylctl exits with SUCCESS and prints "oak"
    When the user runs "diff FILE"
    Then berylctl exits with DIFFERENCES_FOUND and prints "pools/oak (file)"
    When the user runs "apply FILE"
    Then berylctl exits with SUCCESS and prints "applied"
    When the user runs "diff FILE"
    Then berylctl exits with SUCCESS and prints exactly ''
    When the user runs "apply FILE"
    Then berylctl exits with SUCCESS and prints "unchanged"
    And the records are at revision 2
    When the user runs "get pools --output table"
    Then berylctl exits with SUCCESS and prints "oak"
    When the user runs "delete pools oak"
    Then berylctl exits with SUCCESS and prints "deleted"
    When the user runs "get pools oak"
    Then berylctl exits with RECORD_INVALID and the error "record_not_found"

  Scenario: A failure domain is evacuated and taken back
    Given a file of the record failure-domains/north that says it is evacuated
    When the user runs "diff FILE"
    Then berylctl exits with DIFFERENCES_FOUND and prints "failure-domains/north (file)"
    When the user runs "apply FILE"
    Then berylctl exits with SUCCESS and prints "applied"
    When the user runs "get failure-domains north"
    Then berylctl exits with SUCCESS and prints ""evacuated": true"
    When the user runs "delete failure-domains north"
    Then berylctl exits with SUCCESS and prints "deleted"

  Scenario: A failure domain's record with a wrong field is refused with the field's name
    Given a file of the record failure-domains/north that says it is emptied
    When the user runs "apply FILE"
    Then berylctl exits with RECORD_INVALID and the error "record_invalid"
    And the error contains "emptied"

  Scenario: A record that another operator changed first is not overwritten
    Given a file of the record pools/oak
    When the user runs "apply FILE"
    And the user runs "apply FILE --expect-revision 0"
    Then berylctl exits with RECORD_CONFLICT and the error "record_conflict"

  Scenario: A wrong record is found before anything is sent
    Given a file of the record pools/oak and a misspelt endpoint
    When the user runs "apply FILE"
    Then berylctl exits with RECORD_INVALID and the error "record_invalid"
    And the error contains "slotz"
    And the records are at revision 0

  Scenario: Records are validated without a daemon
    Given a file of the record pools/oak and a misspelt endpoint
    When the user runs "validate FILE --url http://127.0.0.1:1"
    Then berylctl exits with RECORD_INVALID and the error "record_invalid"
    And the error contains "slotz"

  Scenario: Records are validated against those in force
    Given a file of the record pools/oak and an endpoint of a pool that does not exist
    When the user runs "validate FILE"
    Then berylctl exits with SUCCESS and prints "oak"
    When the user runs "validate FILE --online"
    Then berylctl exits with RECORD_INVALID and the error "record_invalid"

  Scenario: A record that the daemon refuses stops the rest, and the error counts the applied records
    Given a file of the record pools/oak and an endpoint of a pool that does not exist
    When the user runs "apply FILE"
    Then berylctl exits with RECORD_INVALID and the error "record_invalid"
    And the error contains "(1 of 2 records were applied)"

  Scenario: A schema version that is newer than berylctl is left to the daemon
    Given a file of a record in a schema version that only the daemon knows
    When the user runs "validate FILE"
    Then berylctl exits with RECORD_INVALID and the error "schema_version_unknown"
    When the user runs "apply FILE"
    Then berylctl exits with SUCCESS and prints "applied"

  Scenario: The store is down
    Given a file of the record pools/oak
    And the platform's store is down for the fake daemons
    When the user runs "apply FILE"
    Then berylctl exits with NOT_RUN and the error "record_store_unavailable"
    And the error contains "retry in 7 s"

  Scenario: The answer to a change is lost
    Given a file of the record pools/oak
    And the first fake daemon will DROP
    When the user runs "apply FILE"
    Then berylctl exits with OUTCOME_UNKNOWN and the error "outcome_unknown"
    And the records are at revision 1

  Scenario: The state of a daemon
    When the user runs "daemon status"
    Then berylctl exits with SUCCESS and prints "daemon_id"
