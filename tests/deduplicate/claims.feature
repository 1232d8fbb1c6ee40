Feature: Idempotency keys are claimed once, whatever the store does

  Scenario: Two daemons claim the same key at once
    Given two claim books over one store in memory
    When both claim each of 200 keys at once with seed 1
    Then both got the same identifier for every key
    And the store was written to less often than once for each key

  Scenario: The answer to the write is lost
    Given two claim books over one store in memory
    When the answers to the next 2 writes are lost
    And the first book claims a key for "a-1"
    And the second book claims the same key for "b-1"
    Then both got the identifier "a-1"

  Scenario: The write itself is lost without an answer
    Given two claim books over one store in memory
    When the next 2 writes are lost without an answer
    And the first book claims a key for "a-1"
    And the second book claims the same key for "b-1"
    Then both got the identifier "a-1"

  Scenario: The store is out
    Given two claim books over one store in memory
    When the store is out
    And the first book claims a key for "a-1"
    Then the claim fails with code "claim_unavailable" and outcome "outcome_unknown"

  Scenario: A search never calls a key new that another daemon has claimed
    Given two claim books over one store in memory
    When the second book searches for the key
    And the first book claims a key for "a-1"
    And the second book searches for the key
    Then the searches found "" and "a-1"

  Scenario: A claim lapses after the retention time and not before
    Given two claim books over one store in memory
    When the first book claims a key for "a-1"
    And 1199 s pass
    And the second book claims the same key for "b-1"
    And 2 s pass
    And the second book claims the same key for "b-2"
    Then the identifiers were "a-1, a-1, b-2"
