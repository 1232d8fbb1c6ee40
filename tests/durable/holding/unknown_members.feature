Feature: A holder takes endpoints of unknown groups for endpoints that its group may have

  # Guards against a group without a holder, while an endpoint that isn't known yet has its runs.
  Scenario: a group isn't unused before all its endpoints are known
    Given a holder that has loaded no open jobs, before it has read its division
    Then its group isn't unused
    When it has read the list and the division
    Then its group is unused

  # Guards against moves and refusals by a part of the group's endpoints.
  Scenario: a holder hasn't contacted all endpoints before all of them are known
    Given a holder that has loaded no open jobs, before it has read its division
    And its one known endpoint has answered
    Then it hasn't contacted all endpoints
    When it has read the list and the division
    Then it has contacted all endpoints

  Scenario: a division that can't be read doesn't keep a holder waiting
    Given a holder that has loaded no open jobs, before it has read its division
    And its one known endpoint has answered
    When 0.5 s of its tenure have passed
    Then it has contacted all endpoints

  # Guards against jobs that fail while an endpoint that could run them isn't known yet.
  Scenario Outline: a rejected task is kept for an endpoint that <state>, of <membership> group
    Given a holder with a task that its one known endpoint rejects
    And an endpoint of <membership> group that <state>
    Then the task <may> run elsewhere

    Examples:
      | membership | state             | may   |
      | unknown    | is listed         | may   |
      | unknown    | has left the list | may   |
      | its        | has left the list | may   |
      | another    | is listed         | can't |
      | another    | has left the list | can't |
