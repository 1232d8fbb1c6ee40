Feature: Only daemons of the cluster get a stream
  Background:
    Given a listening peer "a"

  Scenario: A daemon with another key is refused
    When a peer dials "a" with the key "another key of 16+"
    Then the peer handshake fails with "peer_handshake_failed" saying "no shared key"
    And peer "a" has no members

  Scenario: One of two keys is enough while a key is replaced
    When a peer dials "a" with the old key and a new one
    Then the peer handshake succeeds

  Scenario: A daemon without a key is refused
    When a peer dials "a" without a key
    Then the peer handshake fails with "peer_handshake_failed" saying "no shared key"

  Scenario: A daemon of another cluster is refused
    When a peer dials "a" as a member of cluster "other"
    Then the peer handshake fails with "peer_handshake_failed" saying "another cluster"

  Scenario: A side that sends the proof back does not prove the key
    When a peer dials a listener that reflects its proof
    Then the peer handshake fails with "peer_handshake_failed" saying "no shared key"

  Scenario: The first messages of a stream may arrive together with the end of the handshake
    When a peer dials a listener whose proof arrives together with a notice
    Then the peer handshake succeeds
    And the notice is the first message of the dialled stream

  Scenario: A daemon of an older version is sent both version ranges
    When a foreign program sends "a" a hello of versions 0 to 0
    Then the foreign program is refused with "peer_version_unsupported" and the versions 1 to 1
    And peer "a" has logged one refusal saying "1 to 1 supported here, 0 to 0 by the other side"

  Scenario Outline: Foreign programs are disconnected with one log line
    When a foreign program sends "a" <what>
    Then the foreign program is disconnected
    And peer "a" has logged one refusal saying "<words>"
    And a genuine peer gets its stream to "a"

    Examples:
      | what                  | words                      |
      | an HTTP request       | not a daemon               |
      | random bytes          | not a daemon               |
      | a long frame          | not a daemon               |
      | a long list           | not a daemon               |
      | nothing and closes    | the stream ended           |

  Scenario: A foreign program that sends nothing is disconnected with one log line
    Given a listening peer "brief" that allows 0.2 s for a handshake
    When a foreign program sends "brief" nothing and waits
    Then the foreign program is disconnected
    And peer "brief" has logged one refusal saying "the handshake timed out"
    And a genuine peer gets its stream to "brief"

  Scenario: A connection that is reset before it is accepted affects no other connection
    Given a listening peer "busy"
    When a foreign program connects to "busy" and resets the connection while "busy" is paused
    Then a genuine peer gets its stream to "busy"

  Scenario: A flood of connections is held off and costs one log line
    When 40 foreign programs that send nothing connect to "a", which allows 4 handshakes
    Then 36 foreign programs are disconnected at once
    And peer "a" has logged one refusal saying "too many connections"
    And a genuine peer gets its stream to "a" when the foreign programs are gone

  Scenario: Without keys only loopback addresses are allowed
    Then peer settings without keys for "10.0.0.1:7000" fail with "peer_settings_invalid"
    And peer settings without keys for "127.0.0.1:7000" are accepted
    And peer settings with an IP name "host.example:7000" fail with "peer_settings_invalid"
