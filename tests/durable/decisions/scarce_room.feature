Feature: Scarce room is divided among those who compete for it

  # The loads are played on 30 endpoints of 16 and 24 cores, a quarter of them at speed 0.55, with
  # callers in three failure domains. Without shares, jobs are ordered and admitted by their
  # objectives alone.

  Scenario: a queue that sends four times its usual load bears the cost of it
    When queue "many" sends 4 times its load for 4 s, with and without shares of the room
    Then more jobs of queues "short" and "long" end in time with shares of the room
    And fewer jobs wait in vain with shares of the room
    And with shares of the room queue "many" has more jobs in time than with first come, first served

  Scenario: a load that all contribute to is borne by all as before
    When all queues send 1.7 times their load for 3 s, with and without shares of the room
    Then at most 2 of 100 jobs fewer of any queue end in time with shares of the room

  Scenario: the usual load is served as before
    When the usual load is sent, with and without shares of the room
    Then at most 1 of 100 jobs fewer of any queue end in time with shares of the room

  Scenario: callers who return as told are served before newcomers
    When queue "many" sends 4 times its load for 4 s and its refused callers return as told
    Then 20 of 100 returned callers more are served in time than without a place
    And at most 2 of 100 jobs fewer end in time overall than without a place

  Scenario Outline: the room is divided by demands and weights
    When <room> cores are divided among demands of <demands> with weights <weights>
    Then the shares of the room are <shares>

    Examples:
      | room | demands       | weights | shares        |
      | 100  | 20, 200, 200  | 1, 1, 1 | 20, 40, 40    |
      | 100  | 200, 200      | 3, 1    | 75, 25        |
      | 100  | 10, 30        | 1, 1    | 10, 30        |
      | 100  | 10, 30, 500   | 8, 1, 1 | 10, 30, 60    |
      | 0    | 10, 30        | 1, 1    | 0, 0          |

  Scenario: room becomes scarce above the capacity, and ample only a while after the demand has sunk
    When demands of 101, 95, 85, 85, 85 of 100 are observed for the room, each 0.3 s
    Then the room is scarce at the observations 1, 2, 3 and no others

  Scenario: what exceeds a share is refused at once if it would be late, and others' jobs are accepted
    Given a group in which queue "big" sends far more than usual and queue "calm" as usual
    When each of these queues submits a job of scarce room
    Then the job of "big" is refused for its share, and that of "calm" is accepted

  Scenario: operators see who is over its share
    Given a group in which queue "big" sends far more than usual and queue "calm" as usual
    Then the metrics of room show a demand above the share for "big" and not for "calm"

  Scenario: a decision about a job looks at no open job
    Given 300 open jobs that must not be listed
    When a job is submitted for the room beside them
    Then a decision on the room was made

  Scenario: the sums of work agree with the jobs after any changes
    When 400 random changes are made to jobs
    Then the sums of work agree with a count of all tasks
    When all these jobs are cancelled
    Then no work is left in the sums

  Scenario: refused callers are told different times to return
    When 12 callers are refused room at once, each with 0.5 s of work
    Then they are told to return after 1 to 7 s, in order

  Scenario Outline: who returns at the time told keeps its place before newcomers
    Given a caller who was refused room and told to return after 2 s
    When the caller returns after <after> s
    Then its job is ordered <order> one of a newcomer

    Examples:
      | after | order  |
      | 2.0   | before |
      | 2.9   | before |
      | 1.0   | like   |
      | 3.5   | like   |

  Scenario: what is remembered of refused callers is bounded
    When 10000 callers are refused room
    Then at most 4000 places are kept

  Scenario: the oldest late job of a lasting overload goes first in the end
    Given waiting jobs of which "old" has waited for 11 s and the others can still be in time
    Then "old" goes first in scarce room

  Scenario: a priority below 0 is refused with the name of its field
    When a platform configuration with a priority of -1 is decoded
    Then the error names the priority of its route
