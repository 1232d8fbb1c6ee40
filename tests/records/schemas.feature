Feature: Records are validated as a whole before they are stored
  Scenario: Two schema versions of an endpoint become one form
    When records are parsed:
      | template    | name |
      | endpoint    | old  |
      | endpoint v2 | new  |
    Then endpoint record "old" has slots 8, connections 64 and cost bearer "savinja"
    And endpoint record "new" has slots 8, connections 64 and cost bearer "orar"

  Scenario Outline: A broken rule is refused with the field's name
    When a <template> record is parsed with <field> set to <value>
    Then the record error is "record_invalid" for the field "<field>"

    Examples:
      | template    | field              | value                        |
      | endpoint    | url                | "http://example.org:80"      |
      | failure domain | evacuated       | "yes"                        |
      | failure domain | evacuated       | 1                            |
      | failure domain | cold            | true                         |
      | endpoint    | url                | "http://10.0.0.1"            |
      | endpoint    | url                | "http://10.0.0.1:0"          |
      | endpoint    | url                | "http://10.0.0.1:99999"      |
      | endpoint    | url                | "ftp://10.0.0.1:80"          |
      | endpoint    | url                | "http://u@10.0.0.1:80"       |
      | endpoint    | url                | "http://[::1%eth0]:80"       |
      | endpoint    | url                | "http://10.0.0.1:80/?a=1"    |
      | endpoint    | url                | "http://10.0.0.1:80/"        |
      | endpoint    | slots              | 0                            |
      | endpoint    | slots              | "8"                          |
      | endpoint    | slots              | true                         |
      | endpoint    | slots              | 4097                         |
      | endpoint    | connections        | 65537                        |
      | endpoint    | pool               | "Oak"                        |
      | endpoint    | cost_bearer        | "orar"                       |
      | endpoint    | schema_version     | "1"                          |
      | endpoint    | schema_version     | true                         |
      | endpoint v2 | takes.memory_mb    | -1                           |
      | endpoint v2 | takes.accelerators | 65                           |
      | service     | pools              | []                           |
      | service     | pools              | ["oak", "oak"]               |
      | service     | pools.0            | "a\n"                        |
      | service     | timeout_s          | 3601                         |
      | service     | run_time_s         | 0                            |
      | service     | run_time_s         | 11                           |
      | service     | max_body_bytes     | 16777217                     |
      | team        | token_sha256       | ["secret"]                   |
      | team        | weight             | 1001                         |
      | team        | max_running_tasks  | 0                            |

  Scenario Outline: An endpoint's URL names an IP address
    When a endpoint record is parsed with url set to <value>
    Then the record is accepted

    Examples:
      | value                          |
      | "https://[2001:db8::1]:8443"   |
      | "http://127.0.0.1:1/base"      |

  Scenario: A schema version that is not known has its own code
    When a endpoint record is parsed with schema_version set to 3
    Then the record error is "schema_version_unknown" for the field "schema_version"

  Scenario: A secret does not come back in an error
    When a team record is parsed with token_sha256 set to ["secret"]
    Then the record error does not contain "secret"

  Scenario: Any JSON gives a record or one of the layer's errors
    Then 300 random JSON values parse as a record or fail with a record error

  Scenario: Valid records survive the store's encoding
    Then 100 random valid endpoint records are the same after encoding and parsing

  Scenario: The JSON schemas show both versions of an endpoint
    Then the exported schema of endpoints version "1" requires "slots"
    And the exported schema of endpoints version "2" requires "takes"
