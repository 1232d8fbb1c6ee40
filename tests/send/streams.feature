Feature: Bytes to endpoints go out in few sends

  Scenario: Head and body of a request go out as one
    Given an exchange stream whose peer answers "ok"
    When "head" and "body" are written and an answer is read
    Then the stream sent "headbody" at once and read "ok"

  Scenario: A large write is sent without waiting for a read
    Given an exchange stream whose peer answers "ok"
    When 70000 bytes are written
    Then the stream sent 70000 bytes

  Scenario Outline: Errors are raised as those of the HTTP library
    Given an exchange stream with a peer that <peer>
    When "head" and "body" are written and an answer is read
    Then the stream's caller got <result>

    Examples:
      | peer                  | result       |
      | has reset             | "WriteError" |
      | resets before it ends | "ReadError"  |
      | ends without answer   | ""           |

  Scenario: An idle connection that its endpoint has closed is detected
    When an exchange stream is connected to a listener on loopback
    Then the stream is not readable
    And it is readable once the listener's side has closed
