Feature: The platform's wire protocol
  Every message is decoded once. Input that is not a valid message is answered
  with a named error or ends its connection. It runs nothing and does not
  affect other sessions.

  Scenario Outline: decoding the statements of callers
    When the text <text> is decoded
    Then the statement is <statement>

    Examples:
      | text                | statement                                                  |
      | BEGIN               | Begin(is_read_only=False)                                  |
      | BEGIN READ          | Begin(is_read_only=True)                                   |
      | BEGIN WRITE         | MalformedStatement                                         |
      | COMMIT              | Commit()                                                   |
      | COMMIT now          | MalformedStatement                                         |
      | ROLLBACK            | Rollback()                                                 |
      | READ 1a4            | DirectStatement(text='READ 1a4', is_write=False)           |
      | READ                | MalformedStatement                                         |
      | WRITE 1a4 xk qp     | DirectStatement(text='WRITE 1a4 xk qp', is_write=True)     |
      | WRITE 1a4           | MalformedStatement                                         |
      | SET a b c           | SetValue(name='a', value='b c')                            |
      | SET a               | MalformedStatement                                         |
      | PARSE s1 WRITE q2c  | Prepare(name='s1', shape=Shape(text='q2c', is_write=True)) |
      | PARSE s1 DROP q2c   | MalformedStatement                                         |
      | PARSE s1 READ       | MalformedStatement                                         |
      | EXECUTE s1 1a4 xk   | Execute(name='s1', arguments='1a4 xk')                     |
      | EXECUTE s1          | MalformedStatement                                         |
      | CLOSE s1            | Deallocate(name='s1')                                      |
      | CLOSE               | MalformedStatement                                         |
      | STATUS              | MalformedStatement                                         |
      | WAITLSN 3.1 READ 1  | MalformedStatement                                         |
      | PAUSE 4             | MalformedStatement                                         |
      | begin               | MalformedStatement                                         |

  Scenario: the decoder accepts any text and leaves reads and writes unchanged
    Then any text can be decoded, and a read or a write keeps its text

  Scenario Outline: decoding registrations, which other programs write too
    When the registration <entry> is decoded
    Then the registration is <verdict>

    Examples:
      | entry                                                                     | verdict |
      | {"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready"}           | a member |
      | {"service":"s","addr":"10.0.0.1:80","zone":"z","state":"draining"}        | leaving |
      | {"service":"s","addr":"10.0.0.1:80","zone":"z","state":"asleep"}          | refused |
      | {"service":7,"addr":"10.0.0.1:80","zone":"z","state":"ready"}             | refused |
      | {"addr":"10.0.0.1:80","zone":"z","state":"ready"}                         | refused |
      | {"service":"s","addr":"10.0.0.1","zone":"z","state":"ready"}              | refused |
      | {"service":"s","addr":":80","zone":"z","state":"ready"}                   | refused |
      | []                                                                        | refused |
      | no JSON                                                                   | refused |

  Scenario Outline: decoding the answers of a member
    When a member answers <answer> to a read
    Then the answer is <outcome>
    And the connection is <state>

    Examples:
      | answer                                      | outcome   | state  |
      | DATAROW x/COMPLETE sig/READY I 3.7/         | Completed | open   |
      | ERROR LAGGING i-1/READY I 3.7/              | behind    | open   |
      | ERROR READONLY i-1/READY E 3.7/             | not_primary | open |
      | ERROR WHATEVER x/READY I -/                 | other     | open   |
      | DATAROW x/                                  | LinkLost  | closed |
      | DATAROW x/COMPLETE sig/READY Q 3.7/         | LinkLost  | closed |
      | NONSENSE/                                   | LinkLost  | closed |
      | close                                       | LinkLost  | closed |

  Scenario Outline: decoding the status of a member
    When a member reports the status <row>
    Then the reported status is <status>

    Examples:
      | row                        | status         |
      | replica 3 3.1209 0 12 2 17 | replica 3.1209 |
      | primary 4 4.7 0 0 0 3      | primary 4.7    |
      | replica 3 - 0 12 2 17      | unreadable     |
      | replica                    | unreadable     |

  Scenario Outline: invalid messages of a caller do not affect other callers
    Given a host that listens for callers
    And another caller with an open session
    When a caller sends <lines>
    Then the caller gets <answer>
    And the other caller is still served

    Examples:
      | lines                                | answer                                 |
      | START book me/QUERY 1 BEGIN/         | READY I -/COMPLETE -/READY T -/        |
      | START nobody me/                     | ERROR NOSUCHDB                         |
      | HELLO/                               | ERROR MALFORMED                        |
      | START/                               | ERROR MALFORMED                        |
      | START book me/START book me/         | READY I -/ERROR MALFORMED              |
      | START book me/QUERY 1/               | READY I -/ERROR MALFORMED              |
      | START book me/QUERY 1 JUMP/          | READY I -/ERROR MALFORMED              |
      | START book me/no text: \xff\xfe/     | READY I -/ERROR MALFORMED              |
      | START book me/a line of 1.5 MiB/     | READY I -/ERROR TOOBIG                 |
      | START book me/a line of 3 MiB/       | READY I -                              |

  Scenario Outline: the settings of a host on the platform
    # Guards against a host that starts with invalid settings and fails later:
    # one with half of its settings failed at its first call to the platform,
    # and caller_address x, which is no address, was accepted.
    When the host settings are <text>
    Then the host settings are <verdict>

    Examples:
      | text                                                                        | verdict                |
      | complete                                    | accepted                                          |
      | complete, with log_level: DEBUG             | accepted                                          |
      | {host: h, data_centre: d}                   | faulty: store_address: the field is missing       |
      | {host: h, data_centre: d}                   | faulty: promotion_address: the field is missing   |
      | complete, with caller_address: x            | faulty: caller_address: 'x' is not an address     |
      | complete, with ready_address: 10.0.0.1      | faulty: ready_address: '10.0.0.1' is not an addr  |
      | complete, with host: 7                      | faulty: host: '7' is not text                     |
      | complete, with stop_grace_s: soon           | faulty: stop_grace_s: 'soon' is not a number      |
      | complete, with member_drain_ms: -1          | faulty: member_drain_ms: -1.0 is out of range     |
      | complete, with log_level: LOUD              | faulty: log_level: 'LOUD' is not known            |
      | complete, with stop_graze_s: 6              | faulty: stop_graze_s: there is no such field      |
      | [                                           | faulty: the YAML is malformed                     |
      | missing                                     | faulty: could not be read                         |

  Scenario: the port for callers is open before the host is loaded
    # Guards against a port that stays closed while a restarted host loads.
    # Callers used up their retries in that time (scale-2 of the forge).
    When a host opens its port for callers
    Then callers can connect before the host accepts connections

  Scenario Outline: readiness checks of the load balancer
    When a host that is <state> gets <request>
    Then the ready server answers <status>

    Examples:
      | state     | request         | status |
      | ready     | GET /api/ready  | 200    |
      | not ready | GET /api/ready  | 503    |
      | ready     | POST /api/ready | 405    |
      | ready     | GET /other      | 404    |
