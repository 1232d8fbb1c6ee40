Feature: What a holder does while another daemon may have replaced its claim

  Scenario: a holder that is cut off with its failure domain doesn't repeat a task that its successor knows as done
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And a partition has the store and the endpoint that runs job "k" on the other side of the holder with fence 16
    And a holder with fence 32 takes over after 0.6 s
    And 8 s have passed
    Then 1 runs of job "k" were started
    And durable job "k" is shown as "completed" within 1 s

  Scenario Outline: a task starts again only once the claim is confirmed after the end of its run is certain
    Given time is simulated
    And a group of 2 endpoints whose runs take 9 s
    When a holder with fence 16 takes over
    And <kind> "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And calls of the store by the holder with fence 16 get no answer for 0.7 s each
    And <loss>
    And <wait_s> s have passed
    Then <before> runs of job "k" were started
    When calls of the store by the holder with fence 16 get no answer for 0 s each
    And 1 s have passed
    Then 2 runs of job "k" were started

    Examples:
      | kind        | loss                                          | wait_s | before |
      | durable job | the endpoint that runs job "k" is cut off     | 1.47   | 1      |
      | durable job | the process that runs job "k" is restarted    | 0.5    | 1      |
      | job         | the endpoint that runs job "k" is cut off     | 1.47   | 2      |
      | job         | the process that runs job "k" is restarted    | 0.5    | 2      |

  Scenario: while the store answers, a durable task starts again as soon as its endpoint's leases have lapsed
    Given time is simulated
    And a group of 2 endpoints whose runs take 9 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And the endpoint that runs job "k" is cut off
    And 1.47 s have passed
    Then 2 runs of job "k" were started

  Scenario: a new holder that is cut off while it waits for its predecessor doesn't start its predecessor's tasks
    Given time is simulated
    And a group of 2 endpoints whose runs take 9 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And a partition has the endpoint that runs job "k" on the other side of the holder with fence 32
    And the holder with fence 16 ends
    And a holder with fence 32 takes over
    And 3 s have passed
    And calls of the store by the holder with fence 32 get no answer for 0.7 s each
    And 6 s have passed
    Then 1 runs of job "k" were started

  Scenario: a holder that is cut off ends its tenure also if only the ends of its durable jobs aren't stored
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And calls of the store by the holder with fence 16 get no answer for 0.7 s each
    And 2.5 s have passed
    Then the tenure of the holder with fence 16 has ended

  Scenario: a provisional holder lets the leases lapse on whose end others rely for a task that is done
    Given time is simulated
    And a group of 2 endpoints whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And a partition has only the endpoint that runs job "k" on the side of the holder with fence 16
    And a holder with fence 32 takes over after 0.6 s
    And other jobs of 1 task are run at the holder with fence 16 until its tenure ends
    And a holder with fence 17 takes over
    And 5 jobs of 1 task are run one after the other at the holder with fence 17
    And 2 runs of job "k" have been started
    Then the lease of the first endpoint of job "k" had lapsed since its run there ended

  Scenario: a caller that asks while the end of a job is being stored learns of it
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.3 s
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And the store turns the holder with fence 16 away
    And 0.5 s have passed
    And the store serves the holder with fence 16 again after 0.1 s
    Then callers that ask for job "k" are told "completed", and its entry daemon was told so

  Scenario Outline: callers learn the end of a durable job only once the store holds it
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.3 s
    And <runs>
    When a holder with fence 16 takes over
    And durable job "k" of 1 task is submitted
    And 1 runs of job "k" have been started
    And the store turns the holder with fence 16 away
    And 1 s have passed
    Then callers that ask for job "k" are told "running", and nobody was told of its end
    When the store serves the holder with fence 16 again
    And 0.3 s have passed
    Then callers that ask for job "k" are told "<state>", and its entry daemon was told so

    Examples:
      | runs                        | state     |
      | every run of job "x" fails  | completed |
      | every run of job "k" fails  | failed    |
