Feature: Who becomes the holder of a group

  Scenario Outline: a daemon claims a group when its holder is silent for long enough
    Given a holder that is silent for <silence> s, <stream> open stream<leaving>
    When a daemon of rank <rank> that reaches <reached> of <listed> others decides
    Then it <claims> the group

    Examples:
      | silence | stream  | leaving         | rank | reached | listed | claims         |
      | 0.3     | with an |                 | 0    | 5       | 5      | does not claim |
      | 0.5     | with an |                 | 0    | 5       | 5      | claims         |
      | 0.49    | with an |                 | 1    | 5       | 5      | does not claim |
      | 0.6     | with an |                 | 1    | 5       | 5      | claims         |
      | 0.12    | with no |                 | 0    | 5       | 5      | claims         |
      | 0.5     | with an |                 | 0    | 2       | 5      | does not claim |
      | 3.5     | with an |                 | 0    | 2       | 5      | claims         |
      | 0.0     | with an | , and is leaving | 0   | 5       | 5      | claims         |

  Scenario Outline: after an outage of all daemons each one claims in its turn
    Given a holder that is silent for 5 s, with no open stream
    When a daemon of rank <rank> decides that has reached 15 of 30 others for <settled> s
    Then it <claims> the group

    Examples:
      | rank | settled | claims         |
      | 0    | 0       | claims         |
      | 1    | 0       | does not claim |
      | 12   | 0.5     | does not claim |
      | 12   | 0.65    | claims         |

  Scenario Outline: connections are reset while a holder runs on
    Given a standby daemon whose stream to a holder broke 0.2 s ago
    When it sees the holder as <status>
    Then it <claims> the holder's group

    Examples:
      | status  | claims         |
      | alive   | does not claim |
      | suspect | claims         |
      | dead    | claims         |

  Scenario Outline: a daemon that gets fewer heartbeats allows a holder the longer silence
    Given a holder that is silent for <silence> s, with <stream> open stream
    And it sends this daemon a heartbeat each 0.45 s
    When a daemon of rank 0 that reaches 5 of 5 others decides
    Then it <claims> the group

    Examples:
      | silence | stream | claims         |
      | 0.7     | an     | does not claim |
      | 0.8     | an     | claims         |
      | 0.35    | no     | does not claim |
      | 0.45    | no     | claims         |

  Scenario: of two provisional holders under one fence exactly one goes on
    Given the daemons "d0" and "d1" are provisional holders of a group under the same fence
    When each gets the other's heartbeat
    Then one of them is still the holder, and both know it as the holder

  Scenario: a holder's watchers are the daemons that would go first in claiming its group
    Given 40 candidates of 0.4 to 2.2 cores that hold 0 to 2 groups
    Then the watchers of a group are the candidates of rank 0 to 4

  Scenario: a daemon that does not suspect a holder would not claim its group either
    Then a daemon that should claim the group always suspects its holder

  Scenario Outline: a claim is replaced only if no newer one has been heard of meanwhile
    Given the fence <seen> was known when the decision to claim was made
    When the fence <known> is known after the read, which found the fence <read>
    Then the claim <may> be replaced

    Examples:
      | seen | known | read | may     |
      | 160  | 160   | 160  | may     |
      | 0    | 0     | 0    | may     |
      | 161  | 161   | 160  | may     |
      | 160  | 176   | 176  | may not |
      | 160  | 160   | 176  | may not |
      | 160  | 176   | 160  | may not |

  Scenario: all candidates agree on their order
    Given candidates "d1" to "d5" of 1 core and "big" of 2 cores
    Then each candidate has a rank of its own, and "big" the first

  Scenario: daemons that hold few groups go first, the larger ones before the others
    Given candidates "d1" to "d5" of 1 core and "big" of 2 cores
    When "big" holds 1 group and "d1" holds 1 group
    Then the first 4 ranks are those of "d2 d3 d4 d5", and "big" goes before "d1"

  Scenario Outline: a provisional fence lies between those of two claims
    Given the known fence is <known>
    When a daemon of rank <rank> needs a provisional fence
    Then the fence is <fence>

    Examples:
      | known | rank | fence |
      | 160   | 0    | 161   |
      | 160   | 3    | 164   |
      | 161   | 0    | 162   |
      | 170   | 2    | 171   |
      | 175   | 0    | 0     |
      | 160   | 15   | 0     |

  Scenario Outline: only half of the daemons, or a whole failure domain, go on without the store
    Given daemons are listed as <listed> and reached as <reached>
    Then a daemon in domain "a" <may> hold provisionally

    Examples:
      | listed   | reached | may     |
      | a3 b2 c1 | a3      | may     |
      | a3 b2 c1 | a1      | may not |
      | a1 b2 c3 | a1      | may     |
      | a3 b2 c1 | a1 b1   | may not |
      | a3 b2 c1 | a1 b2   | may     |

  Scenario Outline: a daemon that the store turns away lets one that reaches the store go first
    Given a daemon without the store that has not heard the holder of a group for <silence> s
    And it reaches the daemons <others>
    When it checks the holder
    Then it <holds> the group provisionally

    Examples:
      | silence | others                                        | holds         |
      | 0.7     | p1 with the store, p2 without it              | does not hold |
      | 0.7     | p1 without it, p2 without it                  | holds         |
      | 0.7     | p1 with the store but leaving, p2 without it  | holds         |
      | 1.5     | p1 with the store, p2 without it              | holds         |

  Scenario Outline: a provisional holder is replaced as soon as a daemon reaches the store
    Given a daemon <store> the store that hears each heartbeat of a holder with fence <fence>
    When it checks the holder
    Then it <claims> the holder's group

    Examples:
      | store   | fence | claims         |
      | with    | 17    | claims         |
      | without | 17    | does not claim |
      | with    | 16    | does not claim |

  # Guards against a change of holder because the daemons were paused at the same moment.
  Scenario Outline: a daemon that was paused itself reads what the holder has sent before it claims
    Given a daemon that checks a holder, and is paused with it for 0.6 s
    When it checks the holder, <event>, and it checks the holder again <time> s later
    Then it has claimed the group after check <number>

    Examples:
      | event                       | time | number |
      | reads its heartbeat         | 0.05 | none   |
      | reads nothing               | 0.05 | 2      |
      | reads nothing               | 0.6  | 2      |

  # Guards against two changes of holder in a row, where a daemon is slow to carry out its decision.
  Scenario Outline: a daemon that is about to claim a group hears that another one has claimed it
    Given a daemon that has decided to claim the group of a holder that <state>
    When it hears of another daemon's claim before it makes its own
    Then the other daemon's claim stays in force

    Examples:
      | state      |
      | is leaving |
      | is silent  |
