Feature: Idempotency keys are claimed once, whatever the store does

  Scenario: Two daemons claim the same key at once
    Given two claim registries over one in-memory store
    When both claim each of 200 keys at once with seed 1
    Then both got the same identifier for every key
    And the store was written to less often than once for each key

  Scenario: The answer to the write is lost
    Given two claim registries over one in-memory store
    When the answers to the next 2 writes are lost
    And the first registry claims a key for "a-1"
    And the second registry claims the same key for "b-1"
    Then both got the identifier "a-1"

  Scenario: The write itself is lost without an answer
    Given two claim registries over one in-memory store
    When the next 2 writes are lost without an answer
    And the first registry claims a key for "a-1"
    And the second registry claims the same key for "b-1"
    Then both got the identifier "a-1"

  Scenario: The store is out
    Given two claim registries over one in-memory store
    When the store is out
    And the first registry claims a key for "a-1"
    Then the claim fails with code "claim_unavailable" and outcome "outcome_unknown"

  Scenario: A lookup never reports a key as unclaimed that another daemon has claimed
    Given two claim registries over one in-memory store
    When the second registry looks up the key
    And the first registry claims a key for "a-1"
    And the second registry looks up the key
    Then the lookups found "" and "a-1"

  Scenario: A claim lapses after the retention time and not before
    Given two claim registries over one in-memory store
    When the first registry claims a key for "a-1"
    And 1199 s pass
    And the second registry claims the same key for "b-1"
    And 2 s pass
    And the second registry claims the same key for "b-2"
    Then the identifiers were "a-1, a-1, b-2"
