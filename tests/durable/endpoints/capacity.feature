Feature: Endpoints whose capacity changes, and which don't guard it

  Scenario: a second run of a task that was found while the capacity was small counts in full
    Given a group of 2 endpoints whose runs take 3 s
    And a stop takes 0.6 s at each endpoint
    When a holder with fence 16 takes over
    And job "a" of 1 task is submitted
    And 0.15 s have passed
    And the endpoint without runs shrinks to 2 cores and runs the task of job "a", too
    And a holder with fence 32 takes over after 0.2 s
    And job "a" of 1 task is submitted again
    And the second endpoint with the task of job "a" grows to 64 cores
    And 0.15 s have passed
    And job "b" of 6 tasks is submitted
    Then job "b" ends as "completed"
    And no start has brought an endpoint over its capacity

  Scenario: an endpoint that has shrunk below what it runs starts nothing until it fits again
    Given a group of 1 endpoint whose runs take 1.2 s
    When a holder with fence 16 takes over
    And job "a" of 3 tasks is submitted
    And 0.15 s have passed
    And endpoint 1 shrinks to 30 cores and 128000 MB
    And 0.6 s have passed
    And job "b" of 2 tasks is submitted
    Then job "a" ends as "completed"
    And job "b" ends as "completed"
    And 3 runs of job "a" were started
    And no start has brought an endpoint over its capacity
    And at most 1 run of job "b" was active at a time

  Scenario Outline: waiting tasks start as soon as the room has come back
    Given a group of 1 endpoint whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "before" of 3 tasks is submitted
    And <kind> "a" of 3 tasks is submitted
    And 0.15 s have passed
    And endpoint 1 shrinks to <room>
    And 1 s have passed
    Then job "before" ends as "completed"
    And 0 runs of job "a" were started
    When endpoint 1 grows to 64 cores and 128000 MB
    Then within 2 s 3 runs of job "a" have started
    And no start has brought an endpoint over its capacity

    Examples:
      | kind        | room                     |
      | job         | 0 cores and 0 MB         |
      | durable job | 0 cores and 0 MB         |
      | durable job | 19 cores and 128000 MB   |

  Scenario: an endpoint of which only the memory has shrunk starts what needs less of it
    Given a group of 1 endpoint whose runs take 0.3 s
    And endpoint 1 shrinks to 64 cores and 500 MB
    When a holder with fence 16 takes over
    And job "a" of 2 tasks of 10 cores and 400 MB is submitted
    And job "b" of 1 task of 10 cores and 700 MB is submitted
    Then job "a" ends as "completed"
    And 0 runs of job "b" were started
    And at most 1 run of job "a" was active at a time
    When endpoint 1 grows to 64 cores and 128000 MB
    Then job "b" ends as "completed"
    And no start has brought an endpoint over its capacity

  Scenario: what has shrunk is full, and the others take the tasks
    Given a group of 2 endpoints whose runs take 0.9 s
    When a holder with fence 16 takes over
    And job "a" of 6 tasks is submitted
    And 0.15 s have passed
    And endpoint 1 shrinks to 10 cores and 128000 MB
    And 0.5 s have passed
    And job "b" of 3 tasks is submitted
    Then job "a" ends as "completed"
    And job "b" ends as "completed"
    And endpoint 1 has started 3 runs
    And no start has brought an endpoint over its capacity

  Scenario: a capacity that shrinks while the holder can't read the list is heard from another daemon
    Given a group of 2 endpoints whose runs take 0.5 s
    When a holder with fence 16 takes over
    And 0.15 s have passed
    And the list of endpoints can't be read any more
    And endpoint 1 shrinks to 10 cores and 128000 MB
    And another daemon tells that endpoint 1 has shrunk
    And 0.3 s have passed
    And job "a" of 6 tasks is submitted
    Then job "a" ends as "completed"
    And no start has brought an endpoint over its capacity

  Scenario: daemons tell each other the capacities that have changed since they read the list
    Given daemons "d1" and "d2" that have read of an endpoint of 64 cores at revision 5
    When "d1" reads of 10 cores at revision 7
    And "d1" sends its heartbeat to "d2"
    Then "d2" reckons with 10 cores
    When "d2" gets an older answer of 64 cores at revision 6
    Then "d2" reckons with 10 cores
    When "d2" reads of 80 cores at revision 8
    And "d1" sends its heartbeat to "d2"
    Then "d2" reckons with 80 cores
    And after 13 s "d1" has no more to tell

  Scenario Outline: rows of a heartbeat about capacities that can't be read are skipped
    Given daemons "d1" and "d2" that have read of an endpoint of 64 cores at revision 5
    When "d2" gets a heartbeat with <part>
    Then "d2" reckons with <cores> cores

    Examples:
      | part                                                                | cores |
      | nothing                                                             | 64    |
      | [1]                                                                 | 64    |
      | {"changed": 4}                                                      | 64    |
      | {"changed": [["e1", 1000, "x", 1, 1, 0], 7, ["e1", 1000, 9, 10000, 1, 0]]} | 10    |
      | {"changed": [["e1", 1000, 9, 1e400, 1, 0], ["e1", 1000, 9, 10000, 1, 0]]}  | 10    |
      | {"changed": [["e1", 1000, 9, 18446744073709551615, 1, 0]]}          | 64    |
      | {"changed": [["e1", 1000, 9, -1, 1, 0]]}                            | 64    |

  Scenario Outline: one daemon reads the list often for holders that the store turns away
    Given a standby daemon "<name>" <store>, a holder <holder store> and a standby daemon "d5" with the store
    Then it reads the list each <interval_s> s

    Examples:
      | name | store             | holder store      | interval_s |
      | d0   | with the store    | without the store | 0.7        |
      | d0   | with the store    | with the store    | 10         |
      | d0   | without the store | without the store | 10         |
      | d9   | with the store    | without the store | 10         |

  Scenario: under load no start brings an endpoint over a capacity that shrinks and grows
    When 100 loads on endpoints whose capacity changes are simulated
    Then no start was over the capacity, of at least 10000, and no job is left
    And some starts would have been without the reports of the changes

  Scenario Outline: a step that fits nowhere while room is small holds no other step of its job back
    Given 2 endpoints of 64 cores, 128000 MB and no accelerators
    When a job of a step that needs <need> and of 2 tasks of 20 cores is placed
    Then 2 tasks of 20 cores have started, and no others

    Examples:
      | need                                |
      | 20 cores, 0 MB and 1 accelerators   |
      | 90 cores, 0 MB and 0 accelerators   |
      | 1 cores, 200000 MB and 0 accelerators |

  Scenario Outline: the room that a group tells others is that where tasks of the usual need fit
    Given 2 endpoints of 64 cores and 1000 MB, whose tasks need 20 cores and 300 MB
    When the first endpoint runs <runs> tasks
    And the first endpoint's capacity is <cores> cores and <memory_mb> MB
    Then the room is <room> cores, and a job of 2 tasks <verdict>

    Examples:
      | runs | cores | memory_mb | room | verdict             |
      | 0    | 64    | 1000      | 120  | is taken            |
      | 3    | 30    | 1000      | 60   | is taken            |
      | 1    | 64    | 200       | 60   | is taken            |
      | 0    | 64    | 650       | 100  | is taken            |
      | 0    | 0     | 0         | 60   | is taken            |

  Scenario: a group all of whose endpoints have shrunk to nothing lets jobs go to another one
    Given 2 endpoints of 64 cores and 1000 MB, whose tasks need 20 cores and 300 MB
    When both endpoints shrink to nothing
    Then the room is 0 cores, and a job of 2 tasks is refused for room

  Scenario: endpoints that are listed while they have shrunk to nothing are spread over the groups
    Given 24 endpoints without capacity that are assigned to 4 groups
    Then each group has 6 endpoints
