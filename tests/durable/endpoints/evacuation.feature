Feature: What a daemon knows of evacuated failure domains, and what follows, without sockets

  Scenario Outline: of two views of the evacuated failure domains, the newer one is kept
    Given a view of the evacuated failure domains "<known>" at revision 7
    When <source> says that "<told>" are evacuated, at revision <revision>
    Then the view says that "<kept>" are evacuated, at revision <at>

    Examples:
      | known | source         | told | revision | kept | at |
      | b     | the store      | b c  | 9        | b c  | 9  |
      | b     | the store      |      | 9        |      | 9  |
      | b     | the store      |      | 5        | b    | 7  |
      | b     | another daemon | c    | 8        | c    | 8  |
      | b     | another daemon | c    | 7        | b    | 7  |
      | b     | another daemon |      | 6        | b    | 7  |

  Scenario: another daemon's view counts from the revision at which it changed last
    Given a view of the evacuated failure domains "b" at revision 7
    When the store says that "b" are evacuated, at revision 30
    Then heartbeats say that "b" are evacuated, from revision 7 on
    When the store says that "" are evacuated, at revision 31
    Then heartbeats say that "" are evacuated, from revision 31 on

  Scenario Outline: a heartbeat whose evacuations can't be read changes nothing
    Given a view of the evacuated failure domains "b" at revision 7
    When a heartbeat says <part> of the evacuations
    Then the view says that "b" are evacuated, at revision 7

    Examples:
      | part                                           |
      | nothing                                        |
      | {}                                             |
      | [1]                                            |
      | {"revision": "x", "failure_domains": []}       |
      | {"revision": 9, "failure_domains": null}       |
      | {"revision": null, "failure_domains": ["c"]}   |
      | {"revision": 1e400, "failure_domains": ["c"]}  |
      | {"revision": 9, "failure_domains": [["c"]]}    |

  Scenario Outline: a holder that begins its tenure waits for a view that is old
    Given a view of the evacuated failure domains "" that the store confirmed <age_s> s ago
    Then it is <verdict> enough to begin a tenure

    Examples:
      | age_s | verdict |
      | 0.9   | recent  |
      | 1.9   | recent  |
      | 2.1   | not recent |

  Scenario Outline: a key of the operator names a failure domain to evacuate
    Then the operator's key "<key>" evacuates "<domain>"

    Examples:
      | key               | domain |
      | op/evacuate/b     | b      |
      | op/evacuate/b-1.x | b-1.x  |
      | op/evacuate/      |        |
      | op/evacuate/b/c   |        |
      | op/evacuate/b c   |        |

  Scenario: evacuated endpoints get no tasks, and count neither as room nor for admission
    Given 2 endpoints of 64 cores, of which the second is in an evacuated failure domain
    Then their room is 64 cores, and the second one gets no task
    When all their failure domains are evacuated
    Then their room is 0 cores, and a job is refused at once

  Scenario: an endpoint that is cold gets tasks last, and again as others as it warms
    Given 2 endpoints of 64 cores, of which the first stays cold for 4 s
    Then a task goes to the second one
    And the coldness of the first one is 1.0 at first, 0.5 after 2 s and 0.0 after 4 s
    When the first one says after 2 s that it stays cold for 6 s
    Then the coldness of the first one is 1.0 after 2 s, 0.5 after 5 s and 0.0 after 8 s

  Scenario Outline: the speed of an endpoint is learnt from runs that began once it was warm
    Given a group of 1 endpoint whose runs take 0.05 s
    And endpoint 1 stays cold for <left_s> s
    When a holder with fence 16 takes over
    And job "a" of 4 tasks is submitted
    Then job "a" ends as "completed"
    And the holder has <verdict>

    Examples:
      | left_s | verdict                        |
      | 0      | learnt the speed of endpoint 1 |
      | 30     | learnt no speed                |

  Scenario: a holder that has never known the evacuations starts nothing before it does
    Given a group of 1 endpoint whose runs take 0.05 s
    And the holders have never known the evacuations
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    Then no run has started 0.8 s later
    When the store tells the holders after 0 s that "" is evacuated
    Then job "a" ends as "completed"

  Scenario: a provisional holder that has never known the evacuations starts nothing before it does
    Given a group of 1 endpoint whose runs take 0.05 s
    And the holders have never known the evacuations
    When a holder with fence 17 takes over
    And job "a" of 2 tasks is submitted
    Then no run has started 0.8 s later
    When the store tells the holders after 0 s that "b" is evacuated
    Then job "a" ends as "completed"

  Scenario: a tenure begins with an old view, and the store says in time that all is evacuated
    Given time is simulated
    And a group of 1 endpoint whose runs take 0.05 s
    And the holders have had no answer about them for 60 s
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    And 0.2 s have passed
    And the store tells the holders after 0 s that "a" is evacuated
    Then no run has started 0.8 s later
    When the store tells the holders after 0 s that "" is evacuated
    Then job "a" ends as "completed"

  Scenario: a tenure begins with an old view, and the store doesn't answer
    Given a group of 1 endpoint whose runs take 0.05 s
    And the holders have had no answer about them for 60 s
    When a holder with fence 16 takes over
    And job "a" of 2 tasks is submitted
    Then job "a" ends as "completed"
