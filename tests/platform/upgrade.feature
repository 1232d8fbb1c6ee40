Feature: Daemons of the landed build and of this one run side by side

  Scenario Outline: durable jobs outlive an upgrade and a rollback in which each holder is <ended>
    Given a platform of 3 daemons of the <first> build and 4 runners whose tasks take 0.4 s
    And callers submit durable jobs and others
    When each daemon, first the holder, is <ended> and replaced by one of the <next> build
    Then each accepted durable job is shown as "completed" by every daemon of the platform
    And no durable task started after it had ended as done
    And no caller of the platform was misled

    Examples:
      | first  | next   | ended   |
      | landed | new    | killed  |
      | landed | new    | stopped |
      | new    | landed | killed  |
      | new    | landed | stopped |

  Scenario: messages and records of one build are read by the other
    Given the landed build of the platform's daemon
    Then 20 random messages of each kind and the records of 50 random jobs keep their content in it
