Feature: Whatever another writer leaves among the entries of the runners ends nothing

  Scenario Outline: an odd entry names no runner, the others hold, and it is logged once
    Given a list of a sound runner and one whose <oddity>
    When the list is read 3 times
    Then it names the sound runner only
    And 1 line is logged, which names the odd entry

    Examples:
      | oddity                                                       |
      | bytes are nested 2000 deep                                   |
      | bytes are nested 1000 deep                                   |
      | bytes are empty                                              |
      | bytes are not UTF-8                                          |
      | fields are all missing                                       |
      | field "labels" is nested 1000 deep                           |
      | field "labels" becomes "r1-2"                                |
      | field "labels" becomes {"r1-2": 1}                           |
      | field "capacity" becomes {"cpu": 18446744073709551615}       |
      | field "capacity" becomes {"cpu": 1e300}                      |
      | field "capacity" becomes {"cpu": true}                       |
      | field "born" becomes 18446744073709551615                    |
      | field "born" becomes -1                                      |
      | field "born" becomes true                                    |
      | field "cold-left-ms" becomes 1e300                           |
      | field "cold-left-ms" becomes true                            |
      | field "address" becomes "10.0.0.1:65536"                     |
      | field "address" becomes "10.0.0.1:0"                         |
      | field "address" becomes "10.0.0.1:-1"                        |
      | field "address" becomes "10.0.0.1:1_0"                       |
      | field "address" becomes "10.0.0.1:+80"                       |
      | field "address" becomes "10.0.0.1:٣"                         |
      | field "address" becomes "10.0.0.1: 80\r\n"                   |
      | field "address" becomes "[::1%ž]:80"                         |
      | field "address" becomes "[::1%lo]:80"                        |
      | field "address" becomes "[[10.0.0.1]]:80"                    |
      | field "address" becomes "[10.0.0.1:80"                       |
      | field "address" becomes "0.0.0.0:80"                         |
      | field "service" becomes ""                                   |
      | field "zone" is 1000000 characters long                      |
      | key ends in "ž"                                              |
      | key ends in "é"                                              |
      | key ends in "a\r\nX: y"                                      |
      | key ends in "a b"                                            |
      | key ends in "a/b"                                            |
      | key ends in ""                                               |

  Scenario: the log line of an odd entry comes again when its problem is another one
    Given a list of a sound runner and one whose key ends in "ž"
    When the list is read 3 times
    And the odd entry becomes one whose bytes are empty
    And the list is read 3 times
    Then 2 lines are logged, which name the odd entry

  Scenario: every runner that any entry names can be ordered and told to other daemons
    Then of arbitrary entries each is skipped, or names a runner that can be ordered and told of

  Scenario: a damaged record of another daemon is logged once
    Given a list of a sound member and one whose record is "[1]"
    When the members are read 3 times
    Then 1 member is known, and 1 line is logged, which names the damaged record

  Scenario Outline: a holder serves jobs while another writer leaves an odd entry
    Given a platform of 1 daemon and 2 runners whose tasks take 0.05 s
    When another writer leaves an entry whose <oddity>
    And the holder has read it
    And platform jobs of 4 tasks are submitted to each daemon
    Then each platform job is answered 200 as "completed"
    And no daemon has ended, no tenure ended by an error, and the odd entry was logged once

    Examples:
      | oddity                                                 |
      | bytes are nested 2000 deep                             |
      | field "address" becomes "127.0.0.1:65536"              |
      | field "address" becomes "127.0.0.1:٣"                  |
      | field "address" becomes "[::1%ž]:80"                   |
      | key ends in "ž"                                        |
