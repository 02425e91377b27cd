Feature: Settings files
  Guards against a host that starts with a misspelt, negative or ignored setting
  and so runs with unintended limits, and against secrets in error messages,
  which are written to logs.

  Scenario Outline: an invalid setting is reported with its field and a remedy
    When settings with the line "<change>" are loaded
    Then the only settings problem is in field "<field>" and says "<text>"

    Examples:
      | change                                | field                  | text                          |
      | queue_limt_count: 5                   | queue_limt_count       | Did you mean queue_limit_count |
      | queue_limit_count: many               | queue_limit_count      | is not a whole number         |
      | queue_limit_count: -1                 | queue_limit_count      | out of range                  |
      | queue_limit_count: 0                  | queue_limit_count      | out of range                  |
      | queue_limit_count: 1.5                | queue_limit_count      | is not a whole number         |
      | queue_limit_count: true               | queue_limit_count      | is not a whole number         |
      | queue_limit_count: 010                | queue_limit_count      | is not a whole number         |
      | queue_limit_count: 1:30               | queue_limit_count      | is not a whole number         |
      | queue_limit_count:                    | queue_limit_count      | an empty value                |
      | drain_timeout_s: -0.5                 | drain_timeout_s        | out of range                  |
      | drain_timeout_s: .inf                 | drain_timeout_s        | is not a number               |
      | connection_share_ratio: 0.6           | connection_share_ratio | out of range                  |
      | caller_address: localhost:7001        | caller_address         | is not an address             |
      | caller_address: 127.0.0.1             | caller_address         | is not an address             |
      | caller_address: 127.0.0.1:70000       | caller_address         | is not an address             |
      | caller_address: 127.0.0.1:17002       | peer_address           | listener                      |
      | seed_addresses: [127.0.0.1:1, nohost] | seed_addresses[1]      | is not an address             |
      | seed_addresses: 127.0.0.1:1           | seed_addresses         | is not a list                 |
      | log_level: LOUD                       | log_level              | Use one of DEBUG              |
      | routing_policy: nearest               | routing_policy         | Use one of owner, direct      |
      | host_name: 12                         | host_name              | is not text                   |
      | suspect_after_ms: 250                 | suspect_after_ms       | not above beacon_interval_ms  |
      | -host_name                            | host_name              | missing                       |
      | -peer_secret                          | peer_secret            | exactly one way               |
      | peer_secret_env: NOT_SET              | peer_secret            | exactly one way               |
      | peer_secret: short                    | peer_secret            | too short                     |
      | peer_secret: 12345678901234567        | peer_secret            | not text                      |

  Scenario: all problems of a settings file are reported together, by line
    When these settings are loaded
      """
      host_name: kigali-a-1
      data_centre: kigali-a
      data_centre: kigali-b
      caller_address: here
      peer_address: 127.0.0.1:17002
      platform_address: 127.0.0.1:17090
      peer_secret_file: absent-file
      operator_secret_env: ABSENT
      log_level: LOUD
      """
    Then the settings problems are
      | line | field                |
      | 1    | operator_address     |
      | 3    | data_centre          |
      | 4    | caller_address       |
      | 7    | peer_secret_file     |
      | 8    | operator_secret_env  |
      | 9    | log_level            |

  Scenario Outline: a secret is read from its source and hidden in texts
    When the peer secret is given by "<source>"
    Then the settings hold the peer secret and their text does not show it

    Examples:
      | source |
      | inline |
      | file   |
      | env    |

  Scenario: settings problems never quote a secret, however malformed the file
    Then no settings problem quotes the secret of any malformed file

  Scenario: the example settings and documents load
    Then every example settings file and document loads
