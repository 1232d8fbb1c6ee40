Feature: Members are seen alive, suspect and dead
  Scenario: Daemons learn of each other through one that they know
    Given peers "b" and "c" that know only "a"
    Then "b" and "c" get streams to each other

  Scenario: A state is carried by the heartbeats
    Given two peers "a" and "b" that know each other
    When "b" provides the state 7 under "place"
    Then "a" sees the state 7 of "b" under "place"

  Scenario: A silent connection is given up and dialled again
    Given peers "a" and "b" whose streams run through relays
    When the relays silence the open connections
    Then both peers get new streams and a request passes
    And neither peer has ever been held for dead

  Scenario: A new incarnation ends the old one at once
    Given two peers "a" and "b" that know each other and never give up on time
    When "b" is stopped and started again under its name
    Then "a" holds the old incarnation of "b" for dead and the new one for alive
    And a handshake of the old incarnation of "b" with "a" is refused

  Scenario: A refused connection alone makes a member suspect
    Given two peers "a" and "b" that know each other and never give up on time
    When "b" is stopped without a word
    Then "a" holds "b" for suspect

  Scenario: A daemon that leaves is dead when its streams end
    Given two peers "a" and "b" that know each other and never give up on time
    When "b" announces that it leaves
    Then "a" holds "b" for alive but not ready
    When "b" is stopped without a word
    Then "a" holds "b" for dead
    And "a" does not dial "b" any more

  Scenario: A frozen daemon is given up and on resuming gives up nobody
    Given a peer "a" and a peer process "frozen" that know each other
    When the process is frozen until "a" holds it for dead
    And the process is resumed
    Then "a" holds the process for alive again
    And the process has never held "a" for suspect or dead

  Scenario: A check that a pause of this daemon interrupts suspects nobody
    When a heartbeat goes unanswered because this daemon is paused
    Then the checked member is still alive
    When a heartbeat goes unanswered otherwise
    Then the checked member is suspect

  Scenario: A suspect member is given up after its time and forgotten later
    Given a member table that gives up after 4 s and forgets after 60 s
    When the member is suspect for 3.9 s
    Then the table holds it for "suspect"
    When the time moves on by 0.1 s
    Then the table holds it for "dead"
    When the time moves on by 59.9 s
    Then the table holds it for "dead"
    When the time moves on by 0.1 s
    Then the table has forgotten it

  Scenario: A pause of this daemon itself does not count
    Given a member table that gives up after 4 s and forgets after 60 s
    When the member is suspect for 3.9 s
    And this daemon is paused for 100 s
    Then the table holds it for "suspect"

  Scenario: Suspicion is refuted only by newer news
    Given a member table that gives up after 4 s and forgets after 60 s
    When the member is suspect for 1 s
    And old news say that the member is alive
    Then the table holds it for "suspect"
    When the member itself refutes the suspicion
    Then the table holds it for "alive"
    When old news say that the member is suspect
    Then the table holds it for "alive"

  Scenario: News are sent on a bounded number of times
    Given a member table that gives up after 4 s and forgets after 60 s
    Then the news of the member are sent on 4 times

  Scenario: News alone add no member
    Given a member table that gives up after 4 s and forgets after 60 s
    When news name an unknown daemon that is alive
    Then the unknown daemon is to be dialled but is no member

  Scenario: Members are asked about others across failure domains
    Then of 3 helpers among 5 members in each of 4 domains none is of the own domain nor of one twice
    And of 3 helpers among 5 members in the own domain alone all are of it

  Scenario: A member that matters now is heard often, however many members there are
    Given 8 peers that each send a heartbeat to one member every 0.2 s
    When the first one depends on the last one
    Then for 3 s the first one hears the last one every 0.5 s
