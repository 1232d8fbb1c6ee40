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

  Scenario: a late copy of a record's write doesn't undo the next write
    Given a ledger whose claim is in force
    And the first copy of the next write is lost and the second answered
    When record "a" is written as "1"
    And record "a" is written as "2"
    And the lost copies are carried out
    Then record "a" holds "2"

  Scenario: a write of which all copies were lost is carried out after the next one
    Given a ledger whose claim is in force
    And all 6 copies of the next write are lost
    When record "a" is written as "1"
    And record "a" is written as "2"
    And the lost copies are carried out
    Then record "a" holds "2"

  Scenario: a write of which all copies were lost is carried out before the next one
    Given a ledger whose claim is in force
    And all 6 copies of the next write are lost
    When record "a" is written as "1"
    And the lost copies are carried out
    And record "a" is written as "2"
    Then record "a" holds "2"

  Scenario: a record is written again while the answer to its last write is overdue
    Given a ledger whose claim is in force
    And the first copy of the next write is lost and the second answered
    When record "a" is written as "1", and as "2" once that has been sent
    And the lost copies are carried out
    Then record "a" holds "2"

  Scenario: two writes of a record queue up, and the first copy of the first is carried out last
    Given a ledger whose claim is in force
    And the first copy of the next write is lost and the second answered
    When record "a" is written as "1" and then as "2" at once
    And the lost copies are carried out
    Then record "a" holds "2"
    And the store was sent 3 transactions

  Scenario: one record of a batch was written by a lost copy, and the others are committed with it
    Given a ledger whose claim is in force
    And all 6 copies of the next write are lost
    When record "a" is written as "1"
    And the lost copies are carried out
    And records "a b c" are written as "2" at once
    Then records "a b c" hold "2"
    And the store was sent 2 transactions after the lost ones

  Scenario: many records are written at once
    Given a ledger whose claim is in force
    When records "a b c d e f g h i j k l m n o p q r s t u v w x y z" are written as "1" at once
    Then records "a b c d e f g h i j k l m n o p q r s t u v w x y z" hold "1"
    And no transaction was too large for the store

  Scenario: a late copy of a former holder's write has no effect
    Given a ledger whose claim is in force
    And all 6 copies of the next write are lost
    When record "a" is written as "1"
    And another daemon replaces the claim
    And the lost copies are carried out
    Then record "a" holds ""

  Scenario: a late copy of a job's first write doesn't undo its stored progress
    Given a group of 1 endpoint whose runs take 0.3 s
    And a store that loses answers
    And the first copy of the job's first write is lost and the second answered
    When a holder with fence 16 takes over
    And durable job "k" of 4 tasks is submitted
    And runs that start after the first 3 take 30 s
    Then the stored record of job "k" comes to show 3 tasks as done
    And within 2 s the endpoint has forgotten the ends of the done tasks
    When the lost copies of the job's writes are carried out
    And a holder with fence 32 takes over
    And 0.5 s have passed
    Then no task of job "k" that was done has started again

  Scenario: a late copy of the removal of an outcome doesn't remove a newer one
    Given a group of 1 endpoint whose runs take 0.3 s
    And a store that loses answers
    And the store holds the outcomes of jobs that ended 400 s ago
    And the first copy of the next removal of an outcome is lost and the second answered
    When a holder with fence 16 takes over and sweeps at once
    And the outcome of the job that ended 400 s ago is stored anew
    And the lost copies of the job's writes are carried out
    Then the store holds the outcomes of jobs that ended 400 s ago

  Scenario: a job whose first write was lost is cancelled before that is carried out
    Given a group of 1 endpoint whose runs take 0.3 s
    And a store that loses answers
    And all 6 copies of the job's first write are lost
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then it isn't known whether job "k" is stored
    And a cancel of job "k" is answered with "cancelled"
    When the lost copies of the job's writes are carried out
    And a holder with fence 32 takes over
    And 0.5 s have passed
    Then 0 runs of job "k" were started

  Scenario: a job whose first write was lost is carried out and then cancelled
    Given a group of 1 endpoint whose runs take 0.3 s
    And a store that loses answers
    And all 6 copies of the job's first write are lost
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then it isn't known whether job "k" is stored
    When the lost copies of the job's writes are carried out
    Then a cancel of job "k" is answered with "cancelled"
    And the store holds the outcome of job "k" and not the job

  Scenario: the state of a job whose first write was lost isn't known
    Given a group of 1 endpoint whose runs take 0.3 s
    And a store that loses answers
    And all 6 copies of the job's first write are lost
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    Then it isn't known whether job "k" is stored
    And the state of job "k" isn't known
    When durable job "k" of 1 task is submitted
    Then durable job "k" is shown as "completed" within 2 s

  Scenario Outline: writes are lost, refused and carried out late at random
    When 6 records are written 25 times each over a store that fails at random, by seed <seed>
    Then no committed write was undone, and no refused write was carried out

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
