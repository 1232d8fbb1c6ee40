Feature: berylctl explain shows the history of one request from log lines

  Background:
    Given berylctl is configured with two fake daemons

  Scenario: the lines of all daemons are put in order, with the changes in the cluster meanwhile
    Given the log lines of a job that was submitted again are on standard input
    When the user runs "explain 00000000000000aa"
    Then berylctl exits with SUCCESS and prints "job submitted again"
    And the printed log lines are "job submitted again,claimed ledger,job completed"

  Scenario: no line names the job
    Given the log lines of a job that was submitted again are on standard input
    When the user runs "explain 00000000000000bb"
    Then berylctl exits with USAGE_ERROR and the error "job_not_logged"

  Scenario: a log file that can't be read
    When the user runs "explain 00000000000000aa no-such.log"
    Then berylctl exits with USAGE_ERROR and the error "file_invalid"
