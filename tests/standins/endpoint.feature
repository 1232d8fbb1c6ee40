Feature: The stand-in for an endpoint

  Background:
    Given an endpoint stand-in with 1 slot and 2 connections

  Scenario: A task runs and its payload comes back
    When the stand-in gets the task "t1" with {"run_time_s": 0.01, "question": 7}
    Then the stand-in answers 200 to "t1" with the echo {"run_time_s": 0.01, "question": 7}
    And the log of the stand-in has "start t1, end t1 200"

  Scenario: A task that fails
    When the stand-in gets the task "t1" with {"fail": true}
    Then the stand-in answers 500
    And the log of the stand-in has "start t1, end t1 500"

  Scenario: Without a free slot it refuses
    When the stand-in runs the long task "long"
    And the stand-in gets the task "t1" with {}
    Then the stand-in refuses with "full"
    And the log of the stand-in has "start long, refuse t1 503"

  Scenario: While leaving it refuses
    When the stand-in's switches are {"leaving": true}
    And the stand-in gets the task "t1" with {}
    Then the stand-in refuses with "leaving"
    And the log of the stand-in has "refuse t1 503"

  Scenario: It closes new connections beyond its limit
    When two connections to the stand-in are open
    Then a third connection to the stand-in is closed

  Scenario: While frozen it starts nothing and does not answer
    When the stand-in's switches are {"freeze": true}
    Then the stand-in gives "ReadTimeout" to the task "t1"
    And the log of the stand-in has ""

  Scenario: It fails all tasks immediately
    When the stand-in's switches are {"fail_everything": true}
    And the stand-in gets the task "t1" with {"run_time_s": 3600}
    Then the stand-in answers 500

  Scenario: It truncates its answer
    When the stand-in's switches are {"truncate": true}
    Then the stand-in gives "RemoteProtocolError" to the task "t1"
    And the log of the stand-in has "start t1, end t1 200"

  Scenario: It pads its answer
    When the stand-in's switches are {"oversize_bytes": 100000}
    And the stand-in gets the task "t1" with {}
    Then the stand-in's answer is longer than 100000 bytes

  Scenario: A connection that its client has closed does not count any more
    When two connections to the stand-in are open
    And both of them are closed
    Then a new connection to the stand-in is eventually served

  Scenario: Open connections go silent while new ones work
    When an open connection to the stand-in has gone silent
    Then a task on the silent connection gets no answer and does not start
    And a task on a new connection gets its answer

  Scenario: A killed stand-in leaves the start in its log
    When the stand-in runs the long task "long"
    And the stand-in is killed
    Then the log of the stand-in has "start long"
