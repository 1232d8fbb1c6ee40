Feature: What an entry daemon says of a durable job when it reaches no holder

  Scenario Outline: an earlier submission may have been stored by another daemon
    Given an entry daemon that reaches no holder, and a store that <store>
    When a durable job is submitted to the entry daemon
    Then the entry daemon says <answer>

    Examples:
      | store                    | answer               |
      | has the job, still open  | that it is accepted  |
      | has the job, ended       | that it is accepted  |
      | has it end between reads | that it is accepted  |
      | has no such job          | that it never runs   |
      | answers nothing          | that it isn't known  |
