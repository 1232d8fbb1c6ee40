Feature: Answers of the store that take longer to arrive than a call may wait

  Scenario Outline: an answer that stops arriving is given up on
    Given a store whose answers stop half-way
    When the <reader> reads the slow store
    Then the read fails

    Examples:
      | reader            |
      | list of endpoints |
      | operator watch    |

  Scenario: it is logged that the operator's keys can't be read, and when they are read again
    Given a store whose answers stop half-way
    When the operator's keys are followed, and the answers arrive whole once it is logged that they can't be read
    Then it is logged that the operator's keys are read again
