Feature: Clients that don't behave can't end berylproxyd, and don't keep it from ordinary callers

  Scenario Outline: berylproxyd outlives <count> clients at its <port> port that send <stream>
    Given a berylproxyd with 128 MB of memory and 256 descriptors
    When <count> clients of berylproxyd at its <port> port send <stream>
    Then an ordinary caller of berylproxyd is answered
    And berylproxyd lives, within its memory and its descriptors

    Examples:
      | count | port | stream                                     |
      | 400   | http | nothing                                    |
      | 400   | http | a head of many short lines, and no body    |
      | 400   | http | a head of 4,000 short lines, and no body   |
      | 50    | http | a head over the limit in one line          |
      | 50    | http | empty lines without end                    |
      | 10    | http | trailers without end in short lines        |
      | 50    | http | trailers without end in one line           |
      | 50    | http | a chunk extension without end              |
      | 50    | http | 20,000 small requests                      |
      | 30    | http | a body of 8,000,000 bytes without its last |
      | 400   | peer | nothing                                    |
      | 50    | peer | bytes without sense                        |

  Scenario: berylproxyd with TLS outlives 400 clients that connect and send nothing
    Given a berylproxyd with TLS, 128 MB of memory and 256 descriptors
    When 400 clients connect to its TLS port and send nothing
    Then a caller that trusts the certificate can read /healthz
    And berylproxyd with TLS lives, within its memory and its descriptors

  Scenario: a single submission of 7,000,000 bytes is served in calm
    Given a berylproxyd with 128 MB of memory and 256 descriptors
    Then a submission of 7,000,000 bytes to berylproxyd is read whole
