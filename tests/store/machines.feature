Feature: The platform's list of VMs

  Scenario: Rows are read
    Given a platform stand-in
    And the platform switches {"vms": [{"name": "vm-1", "host": "127.0.0.1", "failure_domain": "fd-a", "state": "leaving"}]}
    Then the list of VMs is "vm-1 127.0.0.1 fd-a leaving"

  Scenario: A new list shows after the lag only
    Given a platform stand-in
    And the platform switches {"vms": [{"name": "vm-1", "host": "127.0.0.1", "failure_domain": "fd-a", "state": "live"}]}
    And the list of VMs is "vm-1 127.0.0.1 fd-a live"
    When the platform switches {"vms_lag_s": 3600, "vms": []}
    Then the list of VMs is "vm-1 127.0.0.1 fd-a live"

  Scenario Outline: A list that cannot be used is unavailable
    Given a platform stand-in
    And the platform switches <switches>
    Then fetching the list of VMs raises "store_unavailable"

    Examples:
      | switches                    |
      | {"outage": true}            |
      | {"vms": [{"name": "vm-1"}]} |

  Scenario: An error status is unavailable even if it carries rows
    Then a list of VMs with the status 500 raises "store_unavailable"
