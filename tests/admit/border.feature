Feature: A daemon answers bad input with one error, lets in who belongs, and stays up

  Background:
    Given the guarded cluster of 3 daemons in 2 failure domains

  Scenario: Each bad input gets one error with its code and status
    When a job is in flight at the border
    Then these bad inputs are refused
      | input                          | status | code                  | outcome         |
      | malformed JSON                 | 400    | json_malformed        | not_run         |
      | a number that is not JSON      | 400    | json_malformed        | not_run         |
      | an oversized body              | 413    | body_too_large        | not_run         |
      | an unknown service             | 404    | service_unknown       | not_run         |
      | a task that never fits         | 422    | task_never_fits       | not_run         |
      | a need beyond all integers     | 422    | submission_invalid    | not_run         |
      | two tasks with one id          | 422    | submission_invalid    | not_run         |
      | an id of other content         | 409    | id_reused             | not_run         |
      | an id that is none             | 400    | id_malformed          | not_run         |
      | an id of an unknown daemon     | 504    | home_gone             | outcome_unknown |
      | a timeout header out of range  | 400    | header_invalid        | not_run         |
      | a repeatable header of no sense | 400   | header_invalid        | not_run         |
      | a wait that is no number       | 400    | header_invalid        | not_run         |
      | an unknown path                | 404    | path_unknown          | not_run         |
      | an unknown method              | 405    | method_not_allowed    | not_run         |
      | a record without a revision    | 428    | precondition_required | not_run         |
    And the job in flight at the border is answered whole

  Scenario: A cut body and an alien on the peer port harm nothing
    When a job is in flight at the border
    And a caller cuts its connection within a body
    And an alien sends HTTP to the peer port
    Then the alien's connection is closed and the log says why
    And the job in flight at the border is answered whole

  Scenario: Operators' calls need an operator's token
    Then the operators' calls are refused with 401 "operator_token_required" but with the right token

  Scenario: A team's calls need its token
    Then team calls with no token and with a wrong one are refused with 401 "team_token_required"
    And a team that no record names is refused with 403 "team_unknown"
    And the right team token submits a job

  Scenario: A team's id is of no use to another team
    When team "north" has submitted a job at daemon 0
    Then team "south" gets 400 "id_malformed" at each daemon for fetching, cancelling or submitting it
    And an unused id of team "north" is of no use to team "south" and still serves team "north"

  Scenario: A daemon with another peer key is refused, and secrets show nowhere
    When a daemon with another peer key is started
    Then no daemon lets the one with another peer key in
    And no secret shows in a log, a trace or a status
