Feature: What the platform writes is decoded once, and what can't be read names nothing

  Scenario Outline: an entry of the list is used only if it can be read
    Given a good list entry
    When its <change>
    Then it <verdict>

    Examples:
      | change                             | verdict               |
      | bytes are as they were             | names an endpoint     |
      | field "state" becomes "draining"   | names a leaving one   |
      | field "state" becomes "resting"    | names nothing         |
      | field "service" becomes 5          | names nothing         |
      | field "address" becomes "nowhere"  | names nothing         |
      | field "address" becomes "h:99999"  | names nothing         |
      | field "capacity" becomes []        | names nothing         |
      | field "capacity" becomes {"cpu":-1} | names nothing        |
      | field "labels" becomes [1]         | names nothing         |
      | field "born" becomes "today"       | names an endpoint     |
      | field "extra" becomes true         | names an endpoint     |
      | bytes are cut in half              | names nothing         |

  Scenario: a runner's report with rows that can't be read keeps the others
    When this report of a runner is decoded:
      """
      {"born": 7, "running": [["00000000000000aa.0.1.2", 3, "s", 40], ["x", 1, "", 0], 5],
       "ended": [[1, "00000000000000aa.0.0.0", 1, "done", ""], [2, "00000000000000aa.0.0.1", 1, "gone", ""]]}
      """
    Then 1 running task, 1 end and 3 unreadable rows are found

  Scenario Outline: a runner's answer to an order
    Then a runner's <status> with reason "<reason>" means "<outcome>"

    Examples:
      | status | reason | outcome     |
      | 200    |        | started     |
      | 400    |        | invalid     |
      | 409    | room   | no_room     |
      | 409    | old    | run_too_old |
      | 409    | fence  | fenced_off  |
      | 409    | ticket | invalid     |
      | 421    |        | other_life  |
      | 429    |        | unhealthy   |
      | 503    |        | unhealthy   |
      | 500    |        | unknown     |

  Scenario Outline: a step that asks for what can't be done is told apart from one that allows things
    Then a step of <count> tasks with <fields> is <verdict>

    Examples:
      | count | fields                             | verdict      |
      | 3     | {"speculative": true}              | taken        |
      | 3     | {"image": "ledger-v2"}             | taken        |
      | 3     | {"may-miss": 1}                    | taken        |
      | 1     | {"gang": true}                     | taken        |
      | 2     | {"gang": true}                     | not possible |
      | 3     | {"persistent": true}               | not possible |
      | 3     | {"image": "a", "target-ms": 20}    | not possible |
      | 3     | {"fills": true}                    | not possible |
      | 3     | {"rack-local": true}               | taken        |

  Scenario: a queue whose endpoints an outside service names is known
    Given a configuration whose queue has advice of 20 ms
    Then its route needs advice, and that of a queue without does not

  Scenario: routes are found by host and longest prefix
    Given a configuration with the prefixes "/a/" and "/a/b/"
    Then the path "/a/b/0000000000000001" belongs to the queue "queue1"
    And the path "/a/0000000000000001" belongs to the queue "queue0"
    And the path "/c/0000000000000001" belongs to no queue

  Scenario: wrong settings are told all at once, and where
    Given a settings file without "ip", with the number 7 as "zone" and no "[platform]"
    Then reading it names "ip", "zone" and "platform"

  Scenario: a settings file that is no TOML
    Given a settings file with the text "= 5"
    Then reading it names "TOML"

  Scenario: a job's text is bounded in bytes, as runners count it
    Then a job with 4000 letters "a" is taken, and with 4001 or 2001 letters "č" it is refused

  Scenario: bytes from outside never end a daemon
    Then random list entries, reports, configurations and jobs are decoded or refused

  Scenario: a log reader that does not read loses lines and delays nobody
    Given a pipe that nobody reads
    When 20000 log lines are written into it
    Then the writer was never held up, and dropped lines were counted
    When the pipe is read again and one more line is written
    Then the reader is told how many lines are missing
