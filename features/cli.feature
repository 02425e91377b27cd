Feature: Command-line tool
  Scripts act on the exit code. Guards against a change that may have been made
  but is reported as refused, and against a usage error that changes something.

  Scenario Outline: commands of the tool report their result and exit code
    Given listeners for the tool
    When the tool runs "<command>"
    Then the tool exits with <code>, printing "<output>" and the error "<error>"
    And the listeners received "<actions>" from the tool

    Examples: succeeded
      | command                                                    | code | output                 | error | actions                   |
      | status                                                     | 0    | forge-a-1              |       |                           |
      | status --json                                              | 0    | "queue_length_count": 17 |     |                           |
      | document validate FORGE                                    | 0    | is valid               |       |                           |
      | document show forge-ledger                                 | 0    | service: forge-ledger  |       |                           |
      | document diff FORGE                                        | 0    | no difference          |       |                           |
      | document diff GEMLAB                                       | 0    | +service: gemlab       |       |                           |
      | document apply FORGE                                       | 0    | revision 5             |       | apply forge-ledger 4      |
      | document apply FORGE --expected-revision 4                 | 0    | revision 5             |       | apply forge-ledger 4      |
      | document apply GEMLAB                                      | 0    | revision 1             |       | apply gemlab-appraisals 0 |
      | settings validate examples/forge/host-kigali-a-1.yaml      | 0    | kigali-a-1 are valid   |       |                           |
      | target drain forge-a-1                                     | 0    | is leaving             |       | leaving forge-a-1 True    |
      | target undrain forge-a-1                                   | 0    | takes work again       |       | leaving forge-a-1 False   |
      | group promote forge-a forge-a-2                            | 0    | forge-a-2 at term 4    |       | promote forge-a forge-a-2 |
      | host drain                                                 | 0    | shutting down          |       | drain host                |
      | outcome forge-ledger gate-shop 1764830000000.1234567890123456 | 0 | completed              |       | ask 1764830000000.1234567890123456 |

    Examples: refused
      | command                                                    | code | output | error                      | actions                   |
      | document show absent                                       | 1    |        | remedy: Check the name     |                           |
      | document apply FORGE --expected-revision 3                 | 1    |        | at revision 4, not 3       | apply forge-ledger 3      |
      | target drain absent                                        | 1    |        | No document declares       | leaving absent True       |
      | status --secret_file WRONG                                 | 1    |        | unauthorized               |                           |
      | statement forge-ledger refused SELECT --request_id 1.5     | 1    |        | no_target                  | ask 1.5                   |

    Examples: bad usage or invalid file
      | command                                                    | code | output | error                      | actions                   |
      | host drain extra                                           | 2    |        | Could not consume arg      |                           |
      | host explode                                               | 2    |        | Could not consume arg      |                           |
      | target drain                                               | 2    |        | required argument          |                           |
      | document apply absent.yaml                                 | 2    |        | could not be read          |                           |
      | document apply Makefile                                    | 2    |        | line 7                     |                           |
      | document apply FORGE --expected-revision four              | 2    |        | remedy: Give a whole number |                          |
      | status --secret_file absent                                | 2    |        | could not be read          |                           |
      | status --timeout_s soon                                    | 2    |        | remedy: See                |                           |
      | host drain --timeout_s 0                                   | 2    |        | remedy: See                |                           |
      | host drain --timeout_s nan                                 | 2    |        | remedy: See                |                           |
      | statement forge-ledger w SELECT --dedline_ms 5             | 2    |        | no option --dedline_ms     |                           |
      | statement forge-ledger w SELECT --deadline_ms soon         | 2    |        | --deadline_ms              |                           |

    Examples: unreachable
      | command                                                    | code | output | error                      | actions                   |
      | host drain --host 127.0.0.1:1                              | 3    |        | Nothing was changed        |                           |
      | status --host 127.0.0.1:1                                  | 3    |        | remedy: Nothing            |                           |
      | statement forge-ledger w SELECT --caller 127.0.0.1:1       | 3    |        | Nothing was changed        |                           |

    Examples: unknown outcome
      | command                                                    | code | output | error                      | actions                   |
      | group promote forge-b forge-b-2                            | 4    |        | may have run               | promote forge-b forge-b-2 |
      | group promote forge-c forge-c-2                            | 4    |        | internal error             | promote forge-c forge-c-2 |
      | statement forge-ledger lost SELECT --request_id 1.5        | 4    |        | mimosapond outcome forge-ledger lost 1.5 | ask 1.5     |
      | statement forge-ledger unknown SELECT --request_id 1.5     | 4    |        | mimosapond outcome forge-ledger unknown 1.5 | ask 1.5  |

  Scenario: the tool sends the options of a statement as fields
    Given listeners for the tool
    When the tool runs a statement with every option
    Then the tool sent these fields
      """
      {"mode": "write", "request_id": "1.25", "service": "s", "workspace": "w",
       "work_class": "batch", "deadline_ms": 500, "max_age_ms": 0,
       "repeatable": true, "is_long": false, "token": "g:1:2",
       "session_id": "12", "durability": "primary",
       "statements": [{"sql": "INSERT INTO t VALUES (?, ?)",
                       "parameters": [1, "a"]}]}
      """
