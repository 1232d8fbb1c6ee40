Feature: An answer of a runner or of the store that makes no sense is an error of that call only

  Scenario: an odd answer of a runner is refused or leaves what can be ordered
    Then arbitrary answers of a runner end no call but by the error of a call

  Scenario Outline: a number in a runner's report that is too large is not taken
    Given a runner that answers its renewals with <answer>
    When its lease is renewed, with what the report says acknowledged and stopped
    Then the calls are made or refused as calls to a runner

    Examples:
      | answer                                                                         |
      | {"clock-ms": 18446744073709551615}                                             |
      | {"clock-ms": 5, "running": [["00000000000000aa.0.0.0", 1e300, "", 0]]}         |
      | {"clock-ms": 5, "running": [["00000000000000aa.0.0.0", 1, "", 1e300]]}         |
      | {"clock-ms": 5, "running": [["00000000000000aa.0.٣.1_0", 1, "", 1]]}           |
      | {"clock-ms": 5, "ended": [[1e300, "00000000000000aa.0.0.0", 1, "done", ""]]}   |
      | {"clock-ms": 5, "ended": [[1, "00000000000000aa.0.0.0", 1e300, "done", ""]]}   |
      | {"clock-ms": 5, "born": 1e300}                                                 |

  Scenario: an odd answer of the store is an error of the store
    Then arbitrary answers of the store end no call but by the error of a store
