Feature: The settings file is read again while the daemon runs

  Scenario: settings that need no restart are applied after a signal
    Given a platform of 2 daemons and 2 runners whose tasks take 0.3 s
    When platform jobs of 4 tasks are submitted to each daemon
    And the settings of daemon 0 get 2.5 cores and daemon 0 gets SIGHUP
    Then daemon 0 logs "settings read again" within 0.8 s, with "cores" applied
    And each platform job is answered 200 as "completed"

  Scenario: a change without a signal is detected
    Given a platform of 1 daemon and 1 runner whose tasks take 0.05 s
    When the settings of daemon 0 get 2.5 cores
    Then daemon 0 logs "settings read again" within 2 s, with "cores" applied

  Scenario: a new address of the daemon itself is held until the next start
    Given a platform of 1 daemon and 1 runner whose tasks take 0.05 s
    When the settings of daemon 0 get another ready address and daemon 0 gets SIGHUP
    Then daemon 0 logs "settings read again" within 0.8 s, with "ready_address" held
    When platform jobs of 4 tasks are submitted to each daemon
    Then each platform job is answered 200 as "completed"

  Scenario: the store has moved
    Given a platform of 1 daemon and 1 runner whose tasks take 0.05 s
    When the settings of daemon 0 name a relay as the store
    Then daemon 0 logs "settings read again" within 2 s, with "store_address" applied
    And a durable platform job is accepted within 3 s
    When the relay is cut
    Then a durable platform job is refused with 503 and Retry-After

  Scenario Outline: an invalid file changes nothing and is logged once
    Given a platform of 1 daemon and 1 runner whose tasks take 0.05 s
    When the settings of daemon 0 become <damage>
    Then daemon 0 logs "settings not taken" once, naming "<named>"
    When platform jobs of 4 tasks are submitted to each daemon
    Then each platform job is answered 200 as "completed"

    Examples:
      | damage               | named            |
      | half a file          | not TOML         |
      | a missing field      | listen           |
      | no file              | can't be read    |
      | no port of the store | platform.address |
