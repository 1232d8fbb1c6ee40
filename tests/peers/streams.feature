Feature: Requests and notices travel on the streams
  Scenario: A request is answered, refused or times out on its own
    Given two peers "a" and "b" that know each other
    When "a" asks "b" for "hello" over the stream
    Then the peer answer is "hello"
    When "a" asks "b" for "refuse" over the stream
    Then the peer request fails with "test_refusal" to be retried after 3 s
    When "a" asks "b" for "never" over the stream
    Then the peer request fails with "peer_lost"
    When "a" sends "b" 500 notices and a request
    Then "b" has received the 500 notices in order

  Scenario: A message that is too large is not sent and harms nothing
    Given two peers "a" and "b" that know each other
    When "a" asks "b" for 9000000 letters over the stream
    Then the peer request fails with "peer_message_too_large"
    When "a" asks "b" for "hello" over the stream
    Then the peer answer is "hello"

  Scenario: A request to an unknown incarnation was certainly not delivered
    Given two peers "a" and "b" that know each other
    When "a" asks an unknown incarnation over the stream
    Then the peer request fails with "peer_unreachable"

  Scenario: Reordered and repeated replies are matched to their requests or dropped
    Given a peer "a" with a raw member that answers three questions in reverse, twice
    When "a" asks the raw member three questions at once
    Then each peer question has its own answer
    And "a" has dropped 3 late peer replies

  Scenario: A stream that breaks in mid-message loses the request and is dialled again
    Given a peer "a" with a raw member that closes the stream in the middle of a reply
    When "a" asks the raw member a question
    Then the peer request fails with "peer_lost"
    And "a" dials the raw member a second time

  Scenario Outline: A member that breaks the protocol loses its stream, others keep theirs
    Given two peers "a" and "b" that know each other
    When a member with the key sends "a" <what>
    Then the member's stream is closed by "a"
    When "b" asks "a" for "hello" over the stream
    Then the peer answer is "hello"

    Examples:
      | what                           |
      | an oversized frame             |
      | an unknown message type        |
      | a message with a wrong field   |
      | bytes in place of text         |
      | a broken frame                 |

  Scenario: A full queue refuses requests and drops notices without blocking others
    Given two peers "a" and "b" that know each other
    And a raw member of "a" that does not read
    When "a" fills the queue of the raw member
    Then the peer request fails with "peer_unreachable"
    And "a" counts a dropped peer notice
    When "a" asks "b" for "hello" over the stream
    Then the peer answer is "hello"

  Scenario: A daemon that stops first answers what it has received
    Given two peers "a" and "b" that know each other
    When "a" has asked "b" for "later" and "b" drains its streams
    Then "b" is drained only when "a" has received its peer answer

  Scenario: A daemon that stops delivers a large reply to one that reads slowly and goes on sending
    Given two peers "a" and "b" that know each other and never time out
    When "a" reads slowly, asks "b" for 7000000 letters in reply, sends on, and "b" drains and stops
    Then "a" has received the whole reply

  Scenario: A message of the greatest size passes among others
    Given two peers "a" and "b" that know each other
    When "a" sends "b" the largest notice among 100 small ones and a request
    Then the peer answer is "last"
    And "b" has received all 101 notices
