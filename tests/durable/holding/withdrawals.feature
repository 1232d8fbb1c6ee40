Feature: A drop is repeated until its holder confirms it or has certainly dropped the job

  Scenario Outline: how long a drop is repeated
    Given a holder <holder>
    When a drop is sent to it, on a clock of its own
    Then the drop is repeated for <time> s

    Examples:
      | holder                                         | time    |
      | that confirms the third copy                   | 0 to 1  |
      | to which there is no stream any more           | 4 to 5  |
      | whose stream is open, and that never answers   | 30 to 31 |
      | that refuses it for having too much to do      | 30 to 31 |
