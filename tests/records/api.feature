Feature: Operators read and change records over HTTP
  Background:
    Given a record store with a pool "oak"
    And a records daemon "a"
    And records daemon "a" has pool "oak" in force

  Scenario: A record is created, read, changed and deleted
    Then operators' calls at records daemon "a" answer:
      | method | path                      | headers             | body                                                             | status | says               |
      | PUT    | pools/elm                 | If-None-Match: *    | {"schema_version": 1}                                            | 200    | "revision": 3      |
      | GET    | pools/elm                 |                     |                                                                  | 200    | "change_id"        |
      | GET    | pools                     |                     |                                                                  | 200    | "elm"              |
      | PUT    | pools/elm                 | If-None-Match: *    | {"schema_version": 1}                                            | 412    | record_conflict    |
      | PUT    | pools/elm                 | If-Match: "3"       | {"schema_version": 1}                                            | 200    | "revision": 4      |
      | DELETE | pools/elm                 | If-Match: "3"       |                                                                  | 412    | "current_revision": 4 |
      | DELETE | pools/elm                 | If-Match: "4"       |                                                                  | 200    | "revision": 5      |
      | GET    | pools/elm                 |                     |                                                                  | 404    | record_not_found   |

  Scenario: Bad input gets one clear error
    Then operators' calls at records daemon "a" answer:
      | method | path        | headers          | body                                                                       | status | says                    |
      | PUT    | pools/elm   |                  | {"schema_version": 1}                                                      | 428    | precondition_required   |
      | PUT    | pools/elm   | If-Match: 2      | {"schema_version": 1}                                                      | 428    | precondition_required   |
      | PUT    | pools/elm   | If-None-Match: * | {"schema_version": 1                                                       | 400    | json_malformed          |
      | PUT    | pools/elm   | If-None-Match: * | {"schema_version": 1, "schema_version": 1}                                 | 400    | json_malformed          |
      | PUT    | pools/elm   | If-None-Match: * | deep                                                                       | 400    | json_malformed          |
      | PUT    | pools/elm   | If-None-Match: * | long                                                                       | 413    | body_too_large          |
      | PUT    | pools/elm   | If-None-Match: * | {"schema_version": 2}                                                      | 422    | schema_version_unknown  |
      | PUT    | pools/Elm   | If-None-Match: * | {"schema_version": 1}                                                      | 422    | record_invalid          |
      | GET    | trees       |                  |                                                                            | 404    | record_kind_unknown     |
      | DELETE | pools/oak   | If-None-Match: * |                                                                            | 404    | record_not_found        |
      | POST   | validate    |                  | {"kind": "pools", "name": "elm", "record": {"schema_version": 1}}          | 200    | "valid": true           |
      | POST   | validate    |                  | {"kind": "pools", "name": "elm", "record": {"schema_version": 1, "a": 1}}  | 422    | record_invalid          |
      | POST   | validate    |                  | {"kind": "pools", "record": {}}                                            | 422    | name: must be a string  |
      | GET    | pools/oak   | without token    |                                                                            | 401    | operator_token_required |
      | GET    | pools/oak   | of a caller      |                                                                            | 403    | operator_only           |
    And the record store has no pool "elm"

  Scenario: An outage is answered with a retry delay
    Given the record store is unavailable
    Then operators' calls at records daemon "a" answer:
      | method | path      | headers          | body                  | status | says                 |
      | PUT    | pools/elm | If-None-Match: * | {"schema_version": 1} | 503    | "retry_after_s": 5.0 |
