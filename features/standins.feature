Feature: Stand-ins behave as the systems that the product relies on
  All checks of invariants run against stand-ins. A stand-in that is more
  lenient than the real system would hide faults of the product.

  Scenario Outline: a member grants a term to one asker only
    Guards against two hosts that hold the same term.
    Given a member group "m1" without faults
    And member "m1" granted term 2 to "host-1"
    When member "m1" is asked to adopt term <term> for "<asker>"
    Then the member answer is "<answer>"

    Examples:
      | term | asker  | answer     |
      | 2    | host-1 | ok         |
      | 2    | host-2 | term_taken |
      | 1    | host-2 | term_taken |
      | 3    | host-2 | ok         |

  Scenario Outline: only the asker that holds the term can promote
    Guards against a primary whose term no majority granted.
    Given a member group "m1 m2" without faults
    And member "m2" granted term 2 to "host-1"
    When member "m2" is asked to promote term <term> for "<asker>"
    Then the member answer is "<answer>"

    Examples:
      | term | asker  | answer       |
      | 2    | host-1 | ok           |
      | 2    | host-2 | not_granted  |
      | 1    | host-1 | term_changed |
      | 3    | host-1 | term_changed |

  Scenario Outline: a malformed control call is answered with an error
    Guards against a malformed call of the product that looks like a member
    which does not answer.
    Given a member group "m1" without faults
    Then a member call "<op>" on "m1" answers "bad_request"

    Examples:
      | op             |
      | adopt          |
      | promote        |
      | await_position |
      | append         |

  Scenario: a replaced primary refuses writes
    Guards against a write that a replaced primary acknowledges.
    Given a member group "m1 m2 m3" without faults
    And member connection "m1/a" has an open transaction with tally "lost"
    When members "m1 m2 m3" move to term 2 with primary "m2"
    Then a member call "commit" on "m1/a" answers "term_changed"
    And a member call "begin" at term 1 on "m1/b" answers "not_primary"
    And a member call "begin" at term 1 on "m2/b" answers "term_mismatch"
    And a member call "begin" at term 2 on "m2/c" answers "ok"
    And member connection "m1/b" reads tallies ""

  Scenario: divergent log entries are truncated
    Guards against a replica that keeps rows which the other members don't have
    after a change of the primary.
    Given a member group "m1 m2 m3" without faults
    And tally "shared" is committed at term 1 on member "m1"
    And members "m1 m2 m3" hold position 2 of term 1
    And log shipping of member "m1" is paused
    And tally "lost" is committed at term 1 on member "m1"
    When members "m2 m3" move to term 2 with primary "m2"
    And tally "kept" is committed at term 2 on member "m2"
    Then members "m1 m2 m3" hold position 4 of term 2
    And member connection "m1/r" reads tallies "kept shared"
    And members "m1 m2 m3" have equal logs

  Scenario: connections over the limit are closed
    Guards against a product that opens more connections than allowed, which a
    member without a limit would not show.
    Given a member group "m1" with 2 connections
    When 3 member data connections are opened to "m1"
    Then the last member connection is closed with code 4001
    And a member connection can be opened after another one closed

  Scenario Outline: a transaction is isolated until it commits
    Guards against dirty reads and against rows that remain after a rollback.
    Given a member group "m1" without faults
    And member connection "m1/a" has an open transaction with tally "open"
    When member connection "m1/r" reads tallies ""
    And member connection "m1/a" ends its transaction by "<end>"
    And tally "next" is committed at term 1 on member "m1"
    Then member connection "m1/r" reads tallies "<tallies>"

    Examples:
      | end      | tallies   |
      | commit   | next open |
      | rollback | next      |
      | close    | next      |

  Scenario Outline: a failed statement rolls the transaction back
    Guards against a failed transaction that keeps its rows or the write lock.
    Given a member group "m1" without faults
    And tally "taken" is committed at term 1 on member "m1"
    And member connection "m1/a" has an open transaction with tally "open"
    When member connection "m1/a" executes "<sql>"
    Then the member answer is "<answer>"
    And a member call "commit" on "m1/a" answers "no_transaction"
    And tally "next" is committed at term 1 on member "m1"
    And member connection "m1/r" reads tallies "next taken"

    Examples:
      | sql                                | answer           |
      | INSERT INTO tally VALUES ('taken') | unique_violation |
      | INSERT INTO absent VALUES (1)      | sql_error        |
      | COMMIT                             | sql_error        |

  Scenario Outline: a read cannot write
    Guards against a write that bypasses the log.
    Given a member group "m1" without faults
    When member connection "m1/r" reads with "<sql>"
    Then the member answer is "sql_error"
    And member connection "m1/r" reads tallies ""

    Examples:
      | sql                              |
      | INSERT INTO tally VALUES ('x')   |
      | /* hint */ PRAGMA query_only = 0 |
      | BEGIN                            |

  Scenario: a second writer waits for the write lock
    Guards against interleaved transactions, and against pings that wait for a
    running call.
    Given a member group "m1" without faults
    And member connection "m1/a" has an open transaction with tally "first"
    When member connection "m1/b" sends a begin without waiting
    Then a member call "ping" on "m1/b" answers "ok"
    And a member call "read" on "m1/b" answers "bad_request"
    And the member connection that waits for the lock proceeds after "m1/a"

  Scenario: waiting for the write lock times out
    Guards against an abandoned transaction that blocks all others forever.
    Given a member group "m1" with a short lock timeout
    And member connection "m1/a" has an open transaction with tally "first"
    Then a member call "begin" at term 1 on "m1/b" answers "lock_timeout"

  Scenario: the transaction of an unreachable client is rolled back
    Guards against a write lock that an unreachable host holds forever.
    Given a member connection whose client becomes unreachable in a transaction
    Then another member connection can begin a transaction

  Scenario: awaiting a position ends at the position or at a change of term
    Guards against the acknowledgement of a write that was not replicated.
    Given a member group "m1 m2" without faults
    And log shipping of member "m1" is paused
    And tally "late" is committed at term 1 on member "m1"
    When position 2 of term 1 is awaited on member "m2" for 50 ms
    Then the member answer is "timeout"
    When log shipping of member "m1" is resumed
    Then members "m2" hold position 2 of term 1
    When member "m2" granted term 3 to "host-1"
    And position 2 of term 1 is awaited on member "m2" for 60000 ms
    Then the member answer is "term_changed"

  Scenario: statements occupy slots for their cost
    Guards against a capacity of the member that its slots do not limit.
    Given a member group "m1" with 2 connections
    When 2 member reads of cost 30 ms run concurrently on one slot
    Then member "m1" counted a peak of 1 running and at least 60 ms busy

  Scenario: a compare-and-set takes effect although its answer is lost
    Guards against an editor that repeats an accepted change because its answer
    was lost.
    Given a platform that loses the answer of the next write
    When platform row "documents/a" is written at revision 0 without an answer
    Then platform row "documents/a" has revision 1
    And platform row "documents/a" written at revision 0 answers 409
    And platform row "documents/a" written at revision 1 answers 200

  Scenario: the host list lags and outages refuse requests
    Guards against a host list that is more recent than the platform guarantees.
    Given a platform that loses the answer of the next 0 writes
    When platform faults are set to "hosts_lag_ms" 3600000
    And platform host "h1" is registered
    Then the platform lists 0 hosts
    When platform faults are set to "hosts_lag_ms" 0
    Then the platform lists 1 hosts
    When platform faults are set to "down" 1
    Then platform row "documents/a" written at revision 0 answers 503
    When platform faults are set to "down" 0
    Then platform row "documents/a" written at revision 0 answers 200

  Scenario Outline: the fault proxy changes one thing at a time
    Guards against network faults that differ from those of the failure model.
    Given a fault proxy with an open connection
    When the fault proxy applies "<fault>"
    Then the open fault proxy connection "<old>"
    And a new fault proxy connection "<new>"
    And without faults a new fault proxy connection "echoes"

    Examples:
      | fault                | old                | new                |
      | delay_ms             | echoes late        | echoes late        |
      | silent               | stays silent       | echoes             |
      | cut                  | is reset           | is reset           |
      | cut_to_target        | echoes after a cut | echoes after a cut |
      | cut_to_client        | echoes after a cut | echoes after a cut |
      | truncate_after_bytes | echoes 3 bytes     | echoes 3 bytes     |

  Scenario: child processes are ready after their start and end with the block
    Guards against processes that keep running after a failed test.
    When stand-in processes are started and one is paused and the block fails
    Then no stand-in process is running

  Scenario: a child process that cannot start is reported
    Guards against a test that waits for a failed process without reporting why.
    When a stand-in process is started with an unknown setting
    Then the stand-in failure contains "ForbiddenExtraKeysError"
