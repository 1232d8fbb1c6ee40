Feature: Heartbeats name the endpoints that a standby daemon may not have read of

  # Guards against runs that a new holder takes for lost because it has never heard of their endpoint.
  Scenario Outline: an endpoint is new until each standby daemon has read the list again
    Given a list that showed endpoint "e1" at 100 s and "e2" as well at 150 s
    When it is read every 0.7 s until <read_s> s
    Then it has the new endpoints "<new>"

    Examples:
      | read_s | new |
      | 105    | e1  |
      | 140    |     |
      | 161    | e2  |
      | 163    |     |

  Scenario: an endpoint that comes back is new again
    Given a list that showed endpoint "e1" at 100 s and "e2" as well at 150 s
    When it is read every 0.7 s until 170 s
    And an answer at 171 s shows only "e1"
    And it is read every 0.7 s until 173 s
    Then it has the new endpoints "e2"

  Scenario Outline: a provisional holder with a list of <age_s> s <trusts> the last heartbeat of its predecessor
    Given a provisional holder whose list was asked for <age_s> s before its tenure
    Then it <trusts> the last heartbeat to name each used endpoint that its list lacks

    Examples:
      | age_s | trusts        |
      | 11    | trusts        |
      | 13    | doesn't trust |

  Scenario: the heartbeat after an endpoint was added doesn't wait for its turn
    Given a holder that has just sent a heartbeat
    When an endpoint is added to its group
    Then a heartbeat names it before the next one was due
