Feature: The relay and the managed processes

  Scenario: A cut link refuses connections until it is restored
    Given a relay to an endpoint stand-in
    Then a task through the relay gets its answer
    And after the relay's switches are {"cut": true} its open connection is reset
    And a new connection to the relay gives "ConnectError"
    And after the relay's switches are {"cut": false} a task through it gets its answer

  Scenario: Only the open connections go silent
    Given a relay to an endpoint stand-in
    Then a task through the relay gets its answer
    And after the relay's switches are {"silent": true} its open connection is silent
    And a task through a new connection to the relay gets its answer

  Scenario: A connection is silent after a lost chunk
    Given a relay to an endpoint stand-in
    Then a task through the relay gets its answer
    And after the relay's switches are {"lose_share": 1} its open connection is silent

  Scenario: A frozen process answers after it is resumed
    Given a relay to an endpoint stand-in
    Then the frozen endpoint stand-in answers only after it is resumed

  Scenario: A process that ends before its first line is reported with its error output
    Then starting a process that fails with "no such setting" reports it

  Scenario: Calls to the platform stand-in are counted
    Given a platform stand-in
    When the store key "/a" is written twice
    And a watch below "/" has ended
    Then the platform stand-in has counted {"txn": 2, "watch": 1}
