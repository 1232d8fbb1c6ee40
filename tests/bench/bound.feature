Feature: The bench computes the bound of a clairvoyant dispatcher

  Scenario: An idle system gives every task the fastest endpoint
    When the bound is computed for tasks of 0.4 s of work at 0, 1 and 2 s with 1 slot of speed 4 and 1 of speed 1
    Then the slowdowns are 1, 1 and 1

  Scenario: A task waits for a fast slot if it ends sooner there than at a slow one
    When the bound is computed for tasks of 0.4 s of work at 0, 0 and 0 s with 1 slot of speed 4 and 1 of speed 1
    Then the slowdowns are 1, 2 and 3

  Scenario: A task uses a slow slot if the fast one is busy for longer
    When the bound is computed for tasks of 0.4 s of work at 0, 0 and 0 s with 1 slot of speed 4 and 2 of speed 3
    Then the slowdowns are 1, 1.333 and 1.333

  Scenario: Idle slot time counts while a task waits, and only then
    When a task that arrived at 0 s runs from 1 to 3 s on one of 2 slots until 4 s
    Then an eighth of the slot time was idle while a task waited

  Scenario: Arrivals are the same for the same seed
    When arrivals are drawn twice with seed 7 and once with seed 8
    Then the first two draws are the same and the third differs
