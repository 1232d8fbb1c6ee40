Feature: Members are seen alive, suspect and dead
  Scenario: Daemons learn of each other through one that they know
    Given peers "b" and "c" that know only "a"
    Then "b" and "c" get streams to each other

  Scenario: A state is carried by the heartbeats
    Given two peers "a" and "b" that know each other
    When "b" provides the state 7 under "place"
    Then "a" sees the state 7 of "b" under "place"

  Scenario: A connection that carries no more data is closed and redialled
    Given peers "a" and "b" whose streams run through relays
    When the relays drop all data of the open connections
    Then both peers get new streams and a request passes
    And neither peer has ever been considered dead

  Scenario: A new incarnation ends the old one at once
    Given two peers "a" and "b" that know each other and never time out
    When "b" is restarted under the same name
    Then "a" considers the old incarnation of "b" dead and the new one alive
    And a handshake of the old incarnation of "b" with "a" is refused

  Scenario: A refused connection alone makes a member suspect
    Given two peers "a" and "b" that know each other and never time out
    When "b" is stopped without a leave notice
    Then "a" considers "b" suspect

  Scenario: A daemon that leaves is dead when its streams end
    Given two peers "a" and "b" that know each other and never time out
    When "b" announces that it leaves
    Then "a" considers "b" alive but not ready
    When "b" is stopped without a leave notice
    Then "a" considers "b" dead
    And "a" does not dial "b" any more

  Scenario: A frozen daemon is declared dead and suspects no other member when it resumes
    Given a peer "a" and a peer process "frozen" that know each other
    When the process is frozen until "a" considers it dead
    And the process is resumed
    Then "a" considers the process alive again
    And the process has never considered "a" suspect or dead

  Scenario: A check that a pause of this daemon interrupts suspects nobody
    When a heartbeat goes unanswered because this daemon is paused
    Then the checked member is still alive
    When a heartbeat goes unanswered without a pause
    Then the checked member is suspect

  Scenario: A suspect member is declared dead after a timeout and removed later
    Given a member table that declares members dead after 4 s and removes them after 60 s
    When the member is suspect for 3.9 s
    Then its status in the table is "suspect"
    When the time moves on by 0.1 s
    Then its status in the table is "dead"
    When the time moves on by 59.9 s
    Then its status in the table is "dead"
    When the time moves on by 0.1 s
    Then the table has removed it

  Scenario: A pause of this daemon itself extends the timeouts of its members
    Given a member table that declares members dead after 4 s and removes them after 60 s
    When the member is suspect for 3.9 s
    And this daemon is paused for 100 s
    Then its status in the table is "suspect"

  Scenario: Suspicion is refuted only by a newer update
    Given a member table that declares members dead after 4 s and removes them after 60 s
    When the member is suspect for 1 s
    And an outdated update says that the member is alive
    Then its status in the table is "suspect"
    When the member itself refutes the suspicion
    Then its status in the table is "alive"
    When an outdated update says that the member is suspect
    Then its status in the table is "alive"

  Scenario: Updates are sent on a bounded number of times
    Given a member table that declares members dead after 4 s and removes them after 60 s
    Then the update on the member is sent on 4 times

  Scenario: An update alone adds no member
    Given a member table that declares members dead after 4 s and removes them after 60 s
    When an update names an unknown daemon as alive
    Then the unknown daemon is reported for dialling but is not a member

  Scenario: Indirect probes go through members of several failure domains
    Then of 3 intermediaries among 5 members in each of 4 domains, none is in the own domain and no two are in the same one
    And of 3 intermediaries among 5 members in the own domain only, all are in it

  Scenario: A prioritized member is probed often, however many members there are
    Given 8 peers that each send a heartbeat to one member every 0.2 s
    When the first peer prioritizes the last peer
    Then for 3 s the first peer receives a message from the last peer every 0.5 s
