Feature: Invalid requests of callers
  An invalid request must not run, not even in part. Its answer must name the
  fault, and its connection must stay open. The tests run a platform, three
  members and three hosts as separate processes.

  Background:
    Given bad requests go to a deployment of 3 hosts

  Scenario Outline: faulty fields are refused and named
    If a misspelt limit were ignored, the request would run under limits that
    the caller did not choose.
    When the bad request <change> is sent
    Then the bad request is answered <status> with <reason> about "<text>"
    And the bad request has not run
    And the bad request's connection serves a valid request

    Examples:
      | change                                               | status | reason            | text                              |
      | {"deadlne_ms": 5}                                    | 400    | bad_field         | deadlne_ms: there is no such      |
      | {"deadlne_ms": 5}                                    | 400    | bad_field         | did you mean deadline_ms?         |
      | {"deadline_s": 5}                                    | 400    | bad_field         | deadline_s                        |
      | {"deadline_ms": "5 s"}                               | 400    | bad_field         | deadline_ms: expected an integer  |
      | {"deadline_ms": 1.5}                                 | 400    | bad_field         | deadline_ms: expected an integer  |
      | {"deadline_ms": true}                                | 400    | bad_field         | deadline_ms: expected an integer  |
      | {"deadline_ms": -1}                                  | 400    | bad_field         | deadline_ms: expected 1 to        |
      | {"deadline_ms": 0}                                   | 400    | bad_field         | deadline_ms: expected 1 to        |
      | {"max_age_ms": 100}                                  | 400    | bad_field         | max_age_ms: applies to reads      |
      | {"mode": "read", "max_age_ms": -1}                   | 400    | bad_field         | max_age_ms: expected 0 or more    |
      | {"mode": "read", "durability": "primary"}            | 400    | bad_field         | durability: applies to writes     |
      | {"mode": "scan"}                                     | 400    | bad_field         | mode: expected one of read, write |
      | {"work_class": "vip"}                                | 400    | bad_field         | work_class: expected one of       |
      | {"repeatable": "no"}                                 | 400    | bad_field         | repeatable: expected true or      |
      | {"session_id": ""}                                   | 400    | bad_field         | session_id: expected 1 to 200     |
      | {"service": null}                                    | 400    | bad_field         | service: expected a string        |
      | {"-": "workspace"}                                   | 400    | bad_field         | workspace: it is required         |
      | {"service": "absent"}                                | 400    | unknown_service   | absent                            |
      | {"workspace": "absent"}                              | 400    | unknown_workspace | absent                            |
      | {"mode": "read", "token": "forge-0:x"}               | 400    | bad_token         | <group>:<term>:<position>         |
      | {"mode": "read", "token": "other:1:1"}               | 400    | bad_token         | group                             |
      | {"token": "other:1:1"}                               | 400    | bad_token         | group                             |
      | {"request_id": "17.short"}                           | 400    | bad_field         | request_id: expected              |
      | {"request_id": "@-86460000"}                         | 400    | request_expired   | 24 h                              |
      | {"request_id": "@400000"}                            | 400    | request_expired   | in the future                     |
      | {"statements": []}                                   | 400    | bad_field         | statements: expected at least one |
      | {"statements": [{"sql": " "}]}                       | 400    | bad_field         | statements[0].sql: expected       |
      | {"statements": [{"sql": 7}]}                         | 400    | bad_field         | statements[0].sql: expected       |
      | {"statements": [{"query": "x"}]}                     | 400    | bad_field         | statements[0]                     |
      | {"statements": [{"sql": "x", "parameters": "ab"}]} | 400    | bad_field         | parameters: expected a list       |
      | {"statements": [{"sql": "x", "parameters": {"a": 1}}]} | 400 | bad_field         | parameters: expected a list       |
      | {"statements": {"sql": "x"}}                         | 400    | bad_field         | statements: expected a list       |
      | {"statements": [{"sql": "DROP TABLE Mimosapond_requests"}]} | 400 | bad_field    | mimosapond_requests belongs to    |
      | {"mode": "read", "token": "@long"}                   | 400    | bad_token         | <group>:<term>:<position>         |
      | {"statements": "SELECT 1"}                           | 400    | bad_field         | statements                        |
      | {"statements": [{"sql": "x", "parameters": [[1]]}]}  | 400    | bad_field         | parameters[0]: expected           |
      | {"statements": [{"sql": "x", "parameters": [1e999]}]} | 400   | bad_field         | parameters[0]: the number is      |
      | {"statements": [{"sql": "x", "parameters": [98765432109876543210]}]} | 400 | bad_field | parameters[0]: the integer    |
      | {"statements": [{"sql": "SELECT '\ud800'"}]}         | 400    | bad_field         | statements[0].sql: it has         |
      | {"statements": [{"sql": "INSERT INTO absent VALUES (1)"}]} | 400 | sql_error      | absent                            |
      | {"statements": [{"sql": "COMMIT"}]}                  | 400    | sql_error         | reserved                          |

  Scenario Outline: malformed bodies and unknown paths get a JSON refusal
    A client of a JSON interface can't process an HTML page or a closed
    connection.
    When the bad body <body> is sent as <method> to <path>
    Then the bad request is answered <status> with <reason> about "<text>"
    And the bad request's connection serves a valid request

    Examples:
      | body        | method | path                                  | status | reason         | text               |
      | [1, 2]      | POST   | /v1/statements                        | 400    | bad_field      | body: expected a   |
      | "text"      | POST   | /v1/statements                        | 400    | bad_field      | body: expected a   |
      | {"a": NaN}  | POST   | /v1/statements                        | 400    | bad_field      | NaN                |
      | {broken     | POST   | /v1/statements                        | 400    | bad_field      | body: not JSON     |
      | @nested     | POST   | /v1/statements                        | 400    | bad_field      | nested too deeply  |
      | @not-utf-8  | POST   | /v1/statements                        | 400    | bad_field      | body: not JSON     |
      | @over-limit | POST   | /v1/statements                        | 413    | body_too_large | 1048576 bytes      |
      | {}          | POST   | /v1/statement                         | 404    | bad_field      | path: there is no  |
      | {}          | GET    | /                                     | 404    | bad_field      | path: there is no  |
      | {}          | GET    | /v1/statements                        | 405    | bad_field      | method: use POST   |
      | {}          | PUT    | /v1/outcomes                          | 405    | bad_field      | method: use POST   |
      | {}          | POST   | /v1/outcomes                          | 400    | bad_field      | is required        |
      | @call       | POST   | /v1/transactions/absent/commit        | 503    | no_transaction | absent             |
      | @call       | POST   | /v1/transactions/forge-0/host/x/rollback | 503   | no_transaction | forge-0/host/x     |
      | @call       | POST   | /v1/transactions/a/b/c/statements     | 400    | bad_field      | statements: expect |
      | @bad-call   | POST   | /v1/transactions/a/b/c/rollback       | 400    | bad_field      | deadline_ms        |

  Scenario: a valid request after an invalid one runs once
    A refusal must not affect the next request on the same connection.
    When the bad request {"deadline_ms": -1} is sent
    Then the bad request's connection serves a valid request
    And the valid request after the bad one is in the member's log once
