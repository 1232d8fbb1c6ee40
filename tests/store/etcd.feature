Feature: The key-value service over etcd's JSON gateway

  Scenario: Of racing creators of one key exactly one wins
    Given a platform stand-in
    When 20 writers create the store key "/race" at once
    Then 1 of the store writers succeeded and 19 failed with "store_conflict"

  Scenario: Racing read-modify-write loops lose no update
    Given a platform stand-in
    When 5 writers each add 1 to the store key "/counter" 4 times
    Then the store key "/counter" holds "20"

  Scenario: A stale revision neither writes nor deletes
    Given a platform stand-in
    When the store key "/a" is written twice
    Then writing and deleting "/a" at its first revision raise "store_conflict"
    And the store key "/a" holds "second"

  Scenario: A write whose answer is lost is unknown, and has taken effect
    Given a platform stand-in
    And the platform switches {"lose_answers": 1}
    When "new" is written to the store key "/a"
    Then the store call raises "store_outcome_unknown"
    And the store key "/a" holds "new"

  Scenario: A write refused during an outage has not taken effect
    Given a platform stand-in
    And the platform switches {"outage": true}
    When "new" is written to the store key "/a"
    Then the store call raises "store_unavailable"
    And after the platform switches {"outage": false} the store key "/a" is absent

  Scenario: A write that hangs after it was sent is unknown
    Given a platform stand-in
    And the platform switches {"outage": true, "outage_mode": "silent"}
    When "new" is written to the store key "/a" with a timeout of 0.3 s
    Then the store call raises "store_outcome_unknown"

  Scenario: A read and a watch that hang are unavailable
    Given a platform stand-in
    And the platform switches {"outage": true, "outage_mode": "silent"}
    Then reading "/a" and watching "/" with a timeout of 0.3 s raise "store_unavailable"

  Scenario: A listing that takes longer to arrive than a call may wait is read whole
    Given a platform stand-in
    And 100 store keys of 10000 bytes, behind a link of 4 Mbit/s
    Then all 100 are listed with a timeout of 0.5 s

  Scenario: A call to a stopped service is unavailable
    Given a platform stand-in
    And the platform stand-in is killed
    When "new" is written to the store key "/a"
    Then the store call raises "store_unavailable"

  Scenario: A value over the limit is refused
    Given a platform stand-in
    When a value of 1048577 bytes is written to the store key "/a"
    Then the store call raises "store_refused"

  Scenario Outline: Outcome of a write and a read after <fault>
    Given a store whose gateway answers with <fault>
    Then a store write raises "<write>" and a store read raises "<read>"

    Examples:
      | fault               | write                 | read              |
      | ConnectError        | store_unavailable     | store_unavailable |
      | ConnectTimeout      | store_unavailable     | store_unavailable |
      | PoolTimeout         | store_unavailable     | store_unavailable |
      | ReadError           | store_outcome_unknown | store_unavailable |
      | WriteError          | store_outcome_unknown | store_unavailable |
      | ReadTimeout         | store_outcome_unknown | store_unavailable |
      | RemoteProtocolError | store_outcome_unknown | store_unavailable |
      | 500 broken          | store_outcome_unknown | store_unavailable |
      | 503 no leader       | store_unavailable     | store_unavailable |
      | 503 request timed out | store_outcome_unknown | store_unavailable |
      | 503 leader changed  | store_outcome_unknown | store_unavailable |
      | 429 too many        | store_unavailable     | store_unavailable |
      | 400 bad key         | store_refused         | store_refused     |
      | 200 not JSON        | store_outcome_unknown | store_unavailable |

  Scenario: Only a write that was certainly not delivered goes to the next address
    Given a store with two addresses
    Then after "ConnectError" at the first store address a write reaches the second
    And after "ReadError" at the first store address a write does not reach the second
    And after "ReadError" at the first store address a read reaches the second

  Scenario: Keys go away with their lease
    Given a platform stand-in
    When a store lease of 10 s holds the key "/leased"
    And the platform switches {"advance_s": 9}
    Then the store lease can be renewed
    And after the platform switches {"advance_s": 9} the store key "/leased" is present
    And after the platform switches {"advance_s": 2} the store key "/leased" is absent
    And the store lease cannot be renewed
    And a write under the store lease raises "store_lease_lapsed"

  Scenario: Revoking a lease twice is no error
    Given a platform stand-in
    When a store lease of 10 s holds the key "/leased"
    Then the store lease can be revoked twice
    And the store key "/leased" is absent

  Scenario: Consecutive watches miss no change, an outage included
    Given a platform stand-in
    When 30 changes are made below "/watched/", with outages, while it is watched
    Then the watcher has seen all 30 changes in order

  Scenario: A batch keeps the last change of each key
    Given a platform stand-in
    When the store keys "/b/x" and "/b/y" are written twice and "/b/x" is deleted
    Then one batch below "/b/" has the update "/b/y" and the deletion "/b/x"
    And a watch below "/b/" after that batch is empty and stays at its revision

  Scenario: A watch from before a compaction is refused
    Given a platform stand-in
    When the store key "/a" is written twice
    And the platform stand-in compacts its history
    Then a watch below "/" from the start raises "store_compacted"

  Scenario: A store that has fallen back behind the watcher is noticed
    Given a platform stand-in
    And the platform stand-in takes a snapshot
    When the store key "/a" is written twice
    And the platform switches {"revision_rollback": true}
    Then a watch below "/" after the last write raises "store_revision_behind"

  Scenario: A prefix covers its own keys only
    Given a platform stand-in
    When the store keys "/p/1", "/p/2", "/p" and "/q/1" are written
    Then the store prefix "/p/" lists "/p/1 /p/2"
    And the store prefix "" lists "/p /p/1 /p/2 /q/1"
