Feature: Slots are granted by demand, observed capacity, endpoint health and team shares

  Background:
    Given a ledger with endpoints "e0" and "e1" of 2 slots each

  Scenario: A job's tasks get as many slots as there are
    When home "a" requests 5 slots
    Then 2 slots of "e0" and 2 slots of "e1" are granted

  Scenario: A full endpoint is left alone for a moment and then tried with few tasks
    When home "a" requests 1 slot
    And the slot is released as "full"
    And home "a" requests 4 slots
    Then the refusing endpoint gets no grant
    When 0.06 s pass in the ledger
    Then the refusing endpoint gets 1 grants
    When 20 tasks succeed there one after another
    Then the refusing endpoint gets 2 grants

  Scenario: An endpoint that fails everything gets one task at a time
    When 3 tasks in a row fail at "e0"
    And home "a" requests 4 slots
    Then 0 slots of "e0" and 2 slots of "e1" are granted
    When 1.1 s pass in the ledger
    Then 1 slots of "e0" and 0 slots of "e1" are granted

  Scenario: Tasks whose grants are in transit get no second grant
    When home "a" requests 2 slots
    Then 2 slots are granted
    When home "a" reports 2 waiting tasks again without having received a grant
    Then 0 slots are granted
    When home "a" reports 2 waiting tasks again after having received both grants
    Then 2 slots are granted

  Scenario: A dead home's slots stay in use for a while
    When home "a" requests 4 slots
    Then 4 slots are granted
    When home "a" dies
    And home "b" requests 4 slots
    Then 0 slots are granted
    When 3 s pass in the ledger
    Then 4 slots are granted

  Scenario: A new holder learns what is in use before it grants
    When home "a" reports 3 slots in use that another holder had granted
    And home "b" requests 4 slots
    Then 1 slots are granted

  Scenario: Teams share by weight and within their quotas
    Given team "light" of weight 1 and team "heavy" of weight 3 with a quota of 100 each
    When home "a" requests 4 slots for team "light"
    And home "b" requests 4 slots for team "heavy"
    Then 1 slots go to team "light" and 3 slots to team "heavy"

  Scenario: A team's quota bounds its slots
    Given team "light" of weight 1 and team "heavy" of weight 3 with a quota of 1 each
    When home "a" requests 4 slots for team "light"
    And home "b" requests 4 slots for team "heavy"
    Then 1 slots go to team "light" and 1 slots to team "heavy"

  Scenario: A task waits for a fast endpoint where it will end sooner
    Given "e0" is known to run tasks in 0.1 s and "e1" in 0.9 s
    When home "a" requests 3 slots
    Then 2 slots of "e0" and 0 slots of "e1" are granted

  Scenario Outline: A released slot is granted again at once, or after a pause if the endpoint was full
    Given a ledger of one endpoint with 1 slot and a home with 5 waiting tasks
    When the slot is granted and released as "<result>"
    Then the next grant comes after <pause> s

    Examples:
      | result | pause |
      | done   | 0     |
      | unused | 0     |
      | full   | 0.05  |
