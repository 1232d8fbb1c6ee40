Feature: What is learned about uneven endpoints and tasks

  Background:
    Given 6 endpoints of equal speed that have each done 20 tasks of 0.2 s, a few of them long

  Scenario: a single long task doesn't count against its endpoint
    When a task takes 1.4 s at endpoint 1, which reports its progress every 0.1 s
    Then endpoint 1 is not found slow
    And endpoint 1 is reckoned with at least a third of its usual speed

  Scenario: an endpoint is found slow by a single run whose pace drops
    When a run at endpoint 1 drops to a fifth of its pace after 0.1 s
    Then endpoint 1 is found slow within 0.4 s of the drop

  Scenario: an endpoint is avoided after two runs of different jobs that are slow at once
    When two tasks of different jobs take 1.0 s each at endpoint 1, which reports their progress
    Then endpoint 1 is reckoned with less than half of its usual speed before they end

  Scenario: a job of long tasks doesn't make its endpoints slow
    When all tasks of a job take 1.4 s at endpoints 1, 1, 2, 3 and 4, which report their progress
    Then no endpoint is found slow

  Scenario: what is known of a slow endpoint decays, so that it is tried again
    When a run at endpoint 1 drops to a fifth of its pace after 0.1 s
    And nothing runs for 15 s
    Then endpoint 1 is not found slow
    And endpoint 1 is reckoned with at least a third of its usual speed

  Scenario: old daemons read what new ones have learned, and new ones what old ones have
    Then an old daemon finds the queues and speeds in the learned run times
    And a new daemon takes over learned run times without spreads

  Scenario: a successor reckons with the speeds that its predecessor had learned
    Given 44 endpoints of speeds 0.55 and 1.2 whose run times were learned for 25 s, 28 of them for 45 s
    When a new daemon takes over the learned run times and learns for 3 s
    Then it reckons with the same speed of the 28 endpoints in the mean, to 5 of 100

  Scenario: what is learned of queues and of all endpoints together doesn't drift apart
    Given 44 endpoints of speeds 0.55 and 1.2 whose run times were learned for 25 s, 28 of them for 45 s
    Then the common deviation and the biases of the queues are below 0.3

  Scenario: the last attempt of a task avoids an endpoint that fails its runs
    Given an endpoint "bad" that failed a run, and an endpoint "good" of half its speed
    When a task that has failed at its other attempts is placed beside it
    Then it runs at the endpoint "good"

  Scenario: an endpoint that comes back gets one run at a time until one is done
    Given an endpoint that was closed for failures and is open again
    Then it gets one run and no second one
    When that run is done
    Then it gets further runs
