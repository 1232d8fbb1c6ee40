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

  Scenario: An older version is told both ranges
    When an alien sends "a" a hello of versions 0 to 0
    Then the alien is told "peer_version_unsupported" with the versions 1 to 1
    And peer "a" has logged one refusal saying "versions 1 to 1 are spoken here, 0 to 0 there"

  Scenario Outline: Aliens are closed with one log line
    When an alien sends "a" <what>
    Then the alien is closed
    And peer "a" has logged one refusal saying "<words>"
    And a genuine peer gets its stream to "a"

    Examples:
      | what                  | words                      |
      | an HTTP request       | not a daemon               |
      | random bytes          | not a daemon               |
      | a long frame          | not a daemon               |
      | a long list           | not a daemon               |
      | nothing and closes    | the stream ended           |

  Scenario: A silent alien is closed with one log line
    Given a listening peer "brief" that allows 0.2 s for a handshake
    When an alien sends "brief" nothing and waits
    Then the alien is closed
    And peer "brief" has logged one refusal saying "no handshake in time"
    And a genuine peer gets its stream to "brief"

  Scenario: A connection that is reset before it is looked at ends nothing else
    Given a listening peer "busy"
    When an alien connects to "busy" and resets the connection while "busy" is paused
    Then a genuine peer gets its stream to "busy"

  Scenario: A flood of connections is held off and costs one log line
    When 40 silent aliens connect to "a", which allows 4 handshakes
    Then 36 aliens are closed at once
    And peer "a" has logged one refusal saying "too many connections"
    And a genuine peer gets its stream to "a" when the silent aliens are gone

  Scenario: Without keys only loopback addresses are allowed
    Then peer settings without keys for "10.0.0.1:7000" fail with "peer_settings_invalid"
    And peer settings without keys for "127.0.0.1:7000" are accepted
    And peer settings with an IP name "host.example:7000" fail with "peer_settings_invalid"
