Feature: Streams between daemons deliver data without a task for each

  Scenario Outline: What arrived before the delivery began comes first and in order (<loop>)
    Given a transport stream on <loop> whose other side sends 40 pieces of 10000 bytes
    When the transport stream receives 3 times and then delivers by callback
    Then the transport stream has passed on all pieces in order

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: A side that does not read yet holds a bounded amount of data (<loop>)
    Given a transport stream on <loop> whose other side sends 400 pieces of 10000 bytes
    When the transport stream is not read for 0.2 s
    Then the transport stream holds less than 400000 bytes
    And the transport stream has passed on all pieces in order

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario Outline: The end of a stream is reported once: <end> (<loop>)
    Given a transport stream on <loop> whose other side sends 1 pieces of 10 bytes
    When the transport stream delivers by callback and the other side <end>
    Then the transport stream has reported its end once
    And nothing can be written to the transport stream after it is closed

    Examples:
      | loop    | end               |
      | asyncio | closes            |
      | asyncio | ends its sending  |
      | asyncio | resets the stream |
      | uvloop  | closes            |
      | uvloop  | ends its sending  |
      | uvloop  | resets the stream |

  Scenario Outline: A reader that falls behind is reported until the kernel has taken all data (<loop>)
    Given a transport stream on <loop> whose other side does not read
    When 8000000 bytes are written to the transport stream
    Then the transport stream is congested until the other side has read them

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario: Notices of one turn of the event loop are written together
    Given two peers "a" and "b" that know each other
    When "a" sends "b" 500 notices and a request
    Then "b" has received the 500 notices in order
    And "a" has made at most 20 peer writes
