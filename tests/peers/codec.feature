Feature: Frames are checked on receipt
  Scenario: Any message survives the way there and back
    Then 300 random peer messages split at random are decoded as they were encoded

  Scenario: Bytes of any kind give frames or one error
    Then 500 random inputs give peer frames or a peer_protocol_error

  Scenario: Damaged frames give frames or one error
    Then 500 damaged peer frames give peer frames or a peer_protocol_error

  Scenario: Fields of a later version are ignored
    Then a peer message with an additional field is accepted
