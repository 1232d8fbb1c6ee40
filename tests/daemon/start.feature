Feature: A daemon that can't start says why in one line

  Scenario Outline: <what>
    Given an address that is in use
    When a daemon is started with <flag>
    Then it ends as CANNOT_START with the one line "berylproxyd: <code>: "

    Examples:
      | what                               | flag                          | code                     |
      | Callers' address is in use         | --http-address IN_USE         | address_unavailable      |
      | The peer address is in use         | --peer-address IN_USE         | peer_address_unavailable |
      | The trace file can't be written    | --trace-target /dev/null/file | trace_target_unusable    |
