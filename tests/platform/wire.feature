Feature: Data from the platform is decoded and validated in one place; invalid data is ignored

  Scenario Outline: an entry of the list is used only if it is valid
    Given a valid list entry
    When its <change>
    Then it is <verdict>

    Examples:
      | change                             | verdict               |
      | bytes are as they were             | an endpoint           |
      | field "state" becomes "draining"   | a leaving endpoint    |
      | field "state" becomes "resting"    | rejected              |
      | field "service" becomes 5          | rejected              |
      | field "address" becomes "nowhere"  | rejected              |
      | field "address" becomes "h:99999"  | rejected              |
      | field "address" becomes "a..b:80"  | rejected              |
      | field "address" becomes "[::1]:80" | an endpoint           |
      | field "capacity" becomes []        | rejected              |
      | field "capacity" becomes {"cpu":-1} | rejected             |
      | field "labels" becomes [1]         | rejected              |
      | field "born" becomes "today"       | rejected              |
      | field "extra" becomes true         | an endpoint           |
      | field "cold-left-ms" becomes 2500  | an endpoint           |
      | field "cold-left-ms" becomes "x"   | rejected              |
      | field "cold-left-ms" becomes -3    | an endpoint           |
      | bytes are cut in half              | rejected              |

  Scenario Outline: a daemon's record is used only if it is valid
    Then a member's record <record> is <verdict>

    Examples:
      | record                                                      | verdict  |
      | {"peer_address": "10.0.0.1:80", "failure_domain": "a"}      | accepted |
      | {"peer_address": "a..b:80", "failure_domain": "a"}          | rejected |
      | {"peer_address": 5, "failure_domain": "a"}                  | rejected |
      | {"peer_address": "10.0.0.1:80", "failure_domain": ["a"]}    | rejected |
      | {"peer_address": "10.0.0.1:80"}                             | rejected |
      | [1]                                                         | rejected |
      | {                                                           | rejected |

  Scenario: a runner's report with rows that can't be read keeps the others
    When this report of a runner is decoded:
      """
      {"born": 7, "running": [["00000000000000aa.0.1.2", 3, "s", 40], ["x", 1, "", 0], 5],
       "ended": [[1, "00000000000000aa.0.0.0", 1, "done", ""], [2, "00000000000000aa.0.0.1", 1, "gone", ""]]}
      """
    Then 1 running task, 1 ended run and 3 unreadable rows are found

  Scenario Outline: only a report that certainly lists everything is complete
    When a runner's report with <change> is decoded
    Then it is <verdict>

    Examples:
      | change                          | verdict           |
      | 499 ends                        | a complete report |
      | 500 ends                        | a partial report  |
      | 0 ends                          | a complete report |
      | "running" missing               | a complete report |
      | "ended" missing                 | a complete report |
      | "running" becoming null         | a complete report |
      | "running" becoming 5            | a partial report  |
      | "ended" becoming {"a": 1}       | a partial report  |
      | "running" becoming [["x", 1]]   | a partial report  |
      | "ended" becoming [[1, "x", 1]]  | a partial report  |

  Scenario Outline: an answer that is no report doesn't count as one without runs
    When a runner answers a renewal with <status> and <body>
    Then the renewal <verdict>

    Examples:
      | status | body                              | verdict                   |
      | 200    | {"clock-ms": 5}                   | returns a complete report |
      | 200    | {}                                | fails                     |
      | 200    | []                                | fails                     |
      | 409    | {"clock-ms": 5, "reason": "busy"} | fails                     |

  Scenario Outline: a runner's answer to a start order
    Then a runner's <status> with reason "<reason>" means "<outcome>"

    Examples:
      | status | reason | outcome     |
      | 200    |        | started     |
      | 400    |        | invalid     |
      | 409    | room   | no_room     |
      | 409    | old    | run_too_old |
      | 409    | fence  | fenced_off  |
      | 409    | ticket | no_ticket   |
      | 409    | paused | refused     |
      | 409    |        | refused     |
      | 421    |        | other_life  |
      | 429    |        | unhealthy   |
      | 503    |        | unhealthy   |
      | 500    |        | unknown     |

  Scenario Outline: a step that requires an unsupported feature is rejected, a hint is ignored
    Then a step of <count> tasks with <fields> is <verdict>

    Examples:
      | count | fields                             | verdict      |
      | 3     | {"speculative": true}              | accepted     |
      | 3     | {"image": "ledger-v2"}             | accepted     |
      | 3     | {"may-miss": 1}                    | accepted     |
      | 1     | {"gang": true}                     | accepted     |
      | 2     | {"gang": true}                     | unsupported  |
      | 3     | {"persistent": true}               | unsupported  |
      | 3     | {"image": "a", "target-ms": 20}    | unsupported  |
      | 3     | {"fills": true}                    | unsupported  |
      | 3     | {"rack-local": true}               | accepted     |

  Scenario: a queue whose endpoints are chosen by an external service is recognized
    Given a configuration whose queue has advice of 20 ms
    Then its route needs advice, and that of a queue without does not

  Scenario: routes are found by host and longest prefix
    Given a configuration with the prefixes "/a/" and "/a/b/"
    Then the path "/a/b/0000000000000001" belongs to the queue "queue1"
    And the path "/a/0000000000000001" belongs to the queue "queue0"
    And the path "/c/0000000000000001" belongs to no queue

  Scenario: all problems of a settings file are reported together
    Given a settings file without "ip", with the number 7 as "zone" and no "[platform]"
    Then loading it reports "ip", "zone" and "platform"

  Scenario: a settings file that is no TOML
    Given a settings file with the text "= 5"
    Then loading it reports "TOML"

  Scenario: a job's text is bounded in bytes, as runners count it
    Then a job with 4000 letters "a" is accepted, and with 4001 or 2001 letters "č" it is refused

  Scenario: malformed input never ends a daemon
    Then random list entries, reports, configurations and jobs are decoded or refused

  Scenario: a log reader that does not read loses lines and delays nobody
    Given a pipe whose reader does not read
    When 20000 log lines are written into it
    Then the writer was never blocked, and dropped lines were counted
    When the pipe is read again and one more line is written
    Then the reader learns how many lines are missing
