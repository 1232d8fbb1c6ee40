Feature: berylctl explain tells one request's story from log lines

  Background:
    Given berylctl knows two fake daemons

  Scenario: the lines of all daemons are put in order, with what changed meanwhile
    Given the log lines of a job that was handed in again are on standard input
    When the user runs "explain 00000000000000aa"
    Then berylctl ends as SUCCESS and prints "job handed in again"
    And the story's lines are "job handed in again,claimed ledger,job completed"

  Scenario: no line names the job
    Given the log lines of a job that was handed in again are on standard input
    When the user runs "explain 00000000000000bb"
    Then berylctl ends as USAGE_ERROR with the error "job_not_logged"

  Scenario: a log file that can't be read
    When the user runs "explain 00000000000000aa no-such.log"
    Then berylctl ends as USAGE_ERROR with the error "file_invalid"
