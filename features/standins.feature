Feature: Stand-ins behave as the systems that the product relies on
  A stand-in that is more lenient than a real system hides faults of the
  product: every check of invariants is made against them.

  Scenario Outline: a member grants a term to one asker only
    Guards against two hosts that both hold the same term.
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
    Guards against a primary that no majority granted.
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

  Scenario Outline: a malformed control call is answered
    Guards against a fault of the product that looks like a silent member.
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

  Scenario: a divergent tail is truncated
    Guards against a replica that keeps rows which the group lost.
    Given a member group "m1 m2 m3" without faults
    And tally "shared" is committed at term 1 on member "m1"
    And members "m1 m2 m3" hold position 2 of term 1
    And member "m1" is paused in shipping
    And tally "lost" is committed at term 1 on member "m1"
    When members "m2 m3" move to term 2 with primary "m2"
    And tally "kept" is committed at term 2 on member "m2"
    Then members "m1 m2 m3" hold position 4 of term 2
    And member connection "m1/r" reads tallies "kept shared"
    And members "m1 m2 m3" have equal logs

  Scenario: the connection limit holds
    Guards against a product that opens more connections than it may.
    Given a member group "m1" with 2 connections
    When 3 member data connections are opened to "m1"
    Then the last member connection is closed with code 4001
    And a member connection can be opened after another one closed

  Scenario Outline: a transaction is isolated until it commits
    Guards against dirty reads and against a rollback that leaves rows.
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

  Scenario Outline: a faulty statement rolls the transaction back
    Guards against a refused transaction that keeps the write lock or rows.
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
    Guards against mixed transactions, and against pings that wait for calls.
    Given a member group "m1" without faults
    And member connection "m1/a" has an open transaction with tally "first"
    When member connection "m1/b" starts to begin a transaction
    Then a member call "ping" on "m1/b" answers "ok"
    And a member call "read" on "m1/b" answers "bad_request"
    And the member connection that waits for the lock proceeds after "m1/a"

  Scenario: a writer gives up waiting for the write lock
    Guards against an abandoned transaction that blocks all others for good.
    Given a member group "m1" with a short lock timeout
    And member connection "m1/a" has an open transaction with tally "first"
    Then a member call "begin" at term 1 on "m1/b" answers "lock_timeout"

  Scenario: a silent connection loses its transaction
    Guards against a write lock that is held for good by an absent host.
    Given a member connection that goes silent inside a transaction
    Then another member connection can begin a transaction

  Scenario: awaiting a position ends with the position or the term
    Guards against an acknowledgement of a write that was not replicated.
    Given a member group "m1 m2" without faults
    And member "m1" is paused in shipping
    And tally "late" is committed at term 1 on member "m1"
    When position 2 of term 1 is awaited on member "m2" for 50 ms
    Then the member answer is "timeout"
    When member "m1" is resumed in shipping
    Then members "m2" hold position 2 of term 1
    When member "m2" granted term 3 to "host-1"
    And position 2 of term 1 is awaited on member "m2" for 60000 ms
    Then the member answer is "term_changed"

  Scenario: statements occupy slots for their cost
    Guards against capacity that the slot limit does not bound.
    Given a member group "m1" with 2 connections
    When 2 member reads of cost 30 ms run at once on one slot
    Then member "m1" counted a peak of 1 and at least 60 ms

  Scenario: a compare-and-set takes effect although its answer is lost
    Guards against an editor that repeats a change that was accepted.
    Given a platform that loses the answer of the next write
    When platform row "documents/a" is written at revision 0 without an answer
    Then platform row "documents/a" has revision 1
    And platform row "documents/a" written at revision 0 answers 409
    And platform row "documents/a" written at revision 1 answers 200

  Scenario: the host list lags and outages refuse requests
    Guards against a list that is fresher than the platform promises.
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

  Scenario: child processes start ready and always end
    Guards against tests that leave processes behind.
    When stand-in processes are started and one is paused and the block fails
    Then no stand-in process is left

  Scenario: a child process that cannot start is reported
    Guards against a test that waits without saying what is wrong.
    When a stand-in process is started with an unknown setting
    Then the stand-in failure names "ForbiddenExtraKeysError"
