Feature: A write whose answer is lost is neither mistaken for refused nor undoes a later one

  Scenario: the first copy of a write is refused after a later copy was lost
    Given a ledger whose claim is in force
    And the first copy of the next write is refused once the second is lost
    And all other copies of it are refused
    When record "a" is written as "1"
    Then the ledger says that the write of "a" may have taken effect

  Scenario: all copies of a write are refused
    Given a ledger whose claim is in force
    And all 6 copies of the next write are refused
    When record "a" is written as "1"
    Then the ledger says that the write of "a" has not taken effect

  Scenario: a durable job's record may be stored although the first copy of its write is refused
    Given a group of 1 endpoint whose runs take 0.05 s
    And a store that loses answers
    And the first copy of the job's first write is refused once the second is lost
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then it isn't known whether job "k" is stored

  Scenario: a write is refused after a copy was lost and another found a conflict of its batch
    Given a ledger whose claim is in force
    And record "x" exists
    And the first copy of the next write is lost and the second answered
    And all 6 copies of the next write are refused
    When record "a" is written as "1", and "b" as "1" if "x" doesn't exist
    Then the ledger says that the write of "a" may have taken effect
