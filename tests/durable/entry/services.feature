Feature: A question about a job asks only the services that may have it

  Background:
    Given an entry daemon of the services "ledger" and "reserve", and the holder of "ledger" has job "j1"

  Scenario Outline: a job is found whatever is not known of another service
    Given "reserve" <state>
    When <request> job "j1" of "ledger"
    Then the answer is "running"
    And only the holder of "ledger" was asked, and the store was read 0 times

    Examples:
      | state                                         | request                |
      | is new and has no division yet                | a caller cancels       |
      | is new and has no division yet                | a caller asks for      |
      | has a division that the daemon hasn't read    | a caller cancels       |
      | has an unreadable division                    | a caller cancels       |
      | is new, and the store is down                 | a caller cancels       |
      | is new, and the store is down                 | a caller asks for      |
      | is divided, and its holder is silent          | a caller cancels       |

  Scenario Outline: a job that nobody has is known not to exist once no service can have it
    Given "reserve" <state>
    When <request> job "none" of "ledger"
    Then the answer is <answer>

    Examples:
      | state                                         | request           | answer            |
      | is new and has no division yet                | a caller cancels  | that there is none |
      | is new and has no division yet                | a caller asks for | that there is none |
      | is divided, and its endpoints have all left   | a caller cancels  | that there is none |
      | has a division that the daemon hasn't read    | a caller cancels  | that there is none |
      | has an unreadable division                    | a caller cancels  | not known          |
      | is new, and the store is down                 | a caller cancels  | not known          |
      | is new, and the store is down                 | a caller asks for | not known          |
      | is divided, and its holder is silent          | a caller cancels  | not known          |
      | is divided, not configured since the daemon started, and the store is down | a caller asks for | not known |
      | is divided, not configured since the daemon started, and unreadable        | a caller cancels  | not known |

  Scenario Outline: a job stays found after its queue has moved to another service
    Given "reserve" <state> and has job "j2"
    When <request> job "j2" of "ledger"
    Then the answer is "running"

    Examples:
      | state                                              | request           |
      | is divided, and its endpoints have all left        | a caller cancels  |
      | has a division that the daemon hasn't read         | a caller cancels  |
      | is divided, and was removed from the configuration | a caller asks for |
      | is divided, and not configured since the daemon started | a caller asks for |
      | is divided, and not configured since the daemon started | a caller cancels  |

  Scenario: what doesn't have the job costs a bounded number of calls
    Given 20 further services, of which each second one is divided
    When a caller cancels job "j1" of "ledger"
    Then only the holder of "ledger" was asked, and the store was read 0 times
    When a caller cancels job "none" of "ledger"
    Then 11 holders were asked twice each, and the store was read 11 times and written once
