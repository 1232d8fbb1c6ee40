Feature: Each log record is one JSON object on one line

  Scenario Outline: A field of any type is logged: <value>
    Given a log handler that writes to memory
    When a record with the field <value> is logged 3 times
    Then 3 lines were logged, each of which JSON decodes with the field as <decoded>

    Examples:
      | value            | decoded              |
      | a lone surrogate | "\ud800"             |
      | a huge integer   | 1180591620717411303424 |
      | a tuple          | [1, 2]               |
      | an exception     | "broken"             |
      | a numeric key    | {"1": "one"}         |
      | a data class     | "Point(x=1)"         |
      | two lines        | "one\ntwo"           |
