Feature: A daemon answers invalid input with one error, admits only authorized callers and peers, and keeps running

  Background:
    Given the guarded cluster of 3 daemons in 2 failure domains

  Scenario: Each bad input gets one error with its code and status
    When a job is running in the guarded cluster
    Then these invalid inputs are refused
      | input                          | status | code                  | outcome         |
      | malformed JSON                 | 400    | json_malformed        | not_run         |
      | a number that is not JSON      | 400    | json_malformed        | not_run         |
      | an oversized body              | 413    | body_too_large        | not_run         |
      | an unknown service             | 404    | service_unknown       | not_run         |
      | a task that never fits         | 422    | task_never_fits       | not_run         |
      | an amount beyond 64 bits       | 422    | submission_invalid    | not_run         |
      | two tasks with one id          | 422    | submission_invalid    | not_run         |
      | an id of another job           | 409    | id_reused             | not_run         |
      | a malformed id                 | 400    | id_malformed          | not_run         |
      | an id of an unknown daemon     | 504    | home_gone             | outcome_unknown |
      | a timeout header out of range  | 400    | header_invalid        | not_run         |
      | an invalid repeatable header   | 400    | header_invalid        | not_run         |
      | a wait that is not a number    | 400    | header_invalid        | not_run         |
      | an unknown path                | 404    | path_unknown          | not_run         |
      | an unknown method              | 405    | method_not_allowed    | not_run         |
      | a record without a revision    | 428    | precondition_required | not_run         |
    And the running job gets its complete answer

  Scenario: A truncated body and HTTP on the peer port do no harm
    When a job is running in the guarded cluster
    And a caller closes its connection within a request body
    And a client that is not a daemon sends HTTP to the peer port
    Then that connection is closed and the log states the reason
    And the running job gets its complete answer

  Scenario: Operators' calls need an operator's token
    Then the operators' calls are refused with 401 "operator_token_required" unless the token is valid

  Scenario: A team's calls need its token
    Then team calls without a token or with a wrong one are refused with 401 "team_token_required"
    And a team without a record is refused with 403 "team_unknown"
    And the right team token submits a job

  Scenario: A connection that closes after an answer without its request's body says so
    When a call without a token is sent whose body comes late
    Then the connection serves the next call unless the answer says that it closes

  Scenario: A call whose body never comes is answered
    When a call without a token is sent whose body never comes
    Then the answer with status 401 says that the connection closes

  Scenario: A team's id can't be used by another team
    When team "north" has submitted a job at daemon 0
    Then team "south" gets 400 "id_malformed" at each daemon for fetching, cancelling or submitting it
    And an unused id of team "north" is refused for team "south" and accepted for team "north"

  Scenario: A daemon with another peer key is refused, and no secret is disclosed
    When a daemon with another peer key is started
    Then no daemon accepts the one with another peer key as a peer
    And no secret appears in a log, a trace or a status
