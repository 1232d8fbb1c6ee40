Feature: Which tasks are held, tried alone and given up after crashes of their endpoints

  Scenario: two crashes of endpoints that a task had for itself convict it
    When "e1" crashes under "a"
    Then no job is convicted
    When "e2" crashes under "a"
    Then job "a" is convicted

  Scenario: processes that end one after the other at one address are one sign against a task
    When "e1" crashes at address "h1" under "a"
    And "e2" crashes at address "h1" under "a"
    Then no job is convicted
    And task "a" is to be tried "alone"
    When "e3" crashes at address "h2" under "a"
    Then job "a" is convicted

  Scenario: three processes that end at one address under a task convict it
    When "e1" crashes at address "h1" under "a"
    And "e2" crashes at address "h1" under "a"
    And "e3" crashes at address "h1" under "a"
    Then job "a" is convicted

  Scenario: tasks that crashed together are not convicted while either may be to blame
    When "e1" crashes under "a b"
    And "e2" crashes under "a b"
    Then no job is convicted
    And task "a" is to be tried "alone"
    When a run of task "b" ends
    Then job "a" is convicted
    And task "b" is to be tried "usual"

  Scenario: tasks of one job that crashed together are one suspect
    When "e1" crashes under "a.0 a.1"
    And "e2" crashes under "a.1"
    Then job "a" is convicted

  Scenario: a third crash convicts a task that never had an endpoint for itself
    When "e1" crashes under "a b"
    And "e2" crashes under "a c"
    And "e3" crashes under "a d"
    Then job "a" is convicted

  Scenario: an endpoint that answers again after a cut counts for nothing
    When "e1" is lost under "a"
    Then task "a" is to be tried "apart"
    When "e1" answers again
    Then task "a" is to be tried "usual"

  Scenario: a task that lost two endpoints waits for the evidence, but not for ever
    When "e1" is lost under "a"
    And "e2" is lost under "a"
    Then task "a" is to be tried "held"
    And task "a" is to be tried "alone" 2.6 s later
    And task "a" is to be tried "apart" 5.1 s later

  Scenario: a crash that shows in two ways counts once
    When "e1" crashes under "a"
    And "e1" crashes under "a"
    Then no job is convicted

  Scenario: crashes under runs that may not have begun convict only after four of them
    When "e1" crashes under "a", which may not have begun
    And "e2" crashes under "a", which may not have begun
    And "e3" crashes under "a", which may not have begun
    Then no job is convicted
    And task "a" is to be tried "alone"
    When "e4" crashes under "a", which may not have begun
    Then job "a" is convicted

  Scenario: four crashes under runs that may not have begun convict though the first was shared
    When "e1" crashes under "a b", which may not have begun
    And "e2" crashes under "a", which may not have begun
    And "e3" crashes under "a", which may not have begun
    Then no job is convicted
    When "e4" crashes under "a", which may not have begun
    Then job "a" is convicted

  Scenario: crashes after orders that weren't answered don't convict, but make a task suspect
    When "e1" crashes under "a", whose order wasn't answered
    And "e2" crashes under "a", whose order wasn't answered
    And "e3" crashes under "a", whose order wasn't answered
    And "e4" crashes under "a", whose order wasn't answered
    And "e5" crashes under "a", which may not have begun
    Then no job is convicted
    And task "a" is to be tried "alone"

  Scenario: crashes of endpoints whose orders have no outcome make no task suspect
    When "e1" crashes under "a", whose order has no outcome
    And "e2" crashes under "a", whose order has no outcome
    Then no job is convicted
    And task "a" is to be tried "usual"
    When the order of "a" at "e1" may have been carried out
    Then task "a" is to be tried "alone"
    When the order of "a" at "e2" was not carried out
    Then no job is convicted

  Scenario: a task whose order has no outcome may be to blame in place of its neighbour
    When "e1" crashes under "a"
    And "e1" crashes under "b", whose order has no outcome
    And "e2" crashes under "a"
    Then no job is convicted
    When the order of "b" at "e1" was not carried out
    Then job "a" is convicted

  Scenario: a job stored by an earlier version has no crashes
    Given a stored job without a list of crashes
    Then it is decoded with no crashes

  Scenario Outline: stored crashes are neither forgotten nor counted twice when they are stored again
    Given a job stored with <stored> crashes of which <begun> had begun and <possible> may have
    When it is taken over and stored again, 3 times
    Then <begun> crashes are begun and <total> are possible
    And earlier versions read <begun> crashes

    Examples:
      | stored | begun | possible | total |
      | 1      | no    | no       | 1     |
      | 1      | 1     | no       | 1     |
      | 1      | 1     | 1        | 1     |
      | 1      | 1     | 3        | 3     |
      | no     | no    | 3        | 3     |

  Scenario Outline: <case>: few endpoints go down, and no other task is given up
    When a load with <case> is simulated with 3 seeds
    Then each crashing task is given up after at most 3 crashes
    And all other jobs are done
    And at most a quarter as many endpoints crash as when lost tasks are requeued at once

    Examples:
      | case                                          |
      | 2 in 100 crashing jobs                        |
      | 2 in 100 crashing jobs, back after 6 s        |
      | 10 in 100 crashing jobs                       |
      | 2 in 100 crashing jobs beside cuts            |

  Scenario: endpoints also crash for reasons of their own
    When a load with 2 in 100 crashing jobs beside other crashes is simulated with 3 seeds
    Then each crashing task is given up after at most 3 crashes
    And no task is given up under which fewer than 2 endpoints have crashed

  Scenario: tasks that end their endpoints unanswered aren't started three times after three crashes
    When a load with 10 in 100 jobs crashing unanswered, back after 4 s is simulated with 3 seeds
    Then each crashing task is started at most 2 times after 3 crashes under it

  Scenario: many endpoints are cut off and no task is given up
    When a load with 30 cuts is simulated with 3 seeds
    Then all other jobs are done
