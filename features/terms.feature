Feature: Terms, holders and promotion
  An acknowledged write of a replaced primary is lost, a request that runs twice
  charges its users twice, and a needless or a missing promotion stops all
  writes of a group.

  Background:
    Given terms host "h1" holds the term of primary "m1"

  # Guards against acknowledging a commit of a primary that was replaced.
  Scenario Outline: terms do not acknowledge commits of a replaced primary
    Given terms next commit at "m1" is unanswered and isolates it
    When terms host "h1" starts <durability> write "late"
    And terms host "h2" promotes the newest member
    And terms member "m1" delivers its commit answer
    Then terms write "late" ends as unknown
    And terms note "late" exists 0 times

    Examples:
      | durability |
      | primary    |
      | replicated |

  # Guards against losing an acknowledged write because the replicas lag.
  Scenario Outline: terms wait for the requested durability
    Given terms replicas lag <lag_s> s
    When terms host "h1" writes "tally" with <durability> durability
    Then terms write "tally" ends as <outcome>

    Examples:
      | lag_s | durability | outcome   |
      | 0     | replicated | completed |
      | 0.2   | replicated | completed |
      | 30    | replicated | unknown   |
      | 30    | primary    | completed |

  # Guards against acknowledging a write while no majority is at its term.
  Scenario Outline: terms need a majority of reachable members
    Given terms member "m2" is silent
    And terms member "m3" is <state>
    When terms host "h1" writes "tally" with <durability> durability
    Then terms write "tally" ends as <outcome>

    Examples:
      | state  | durability | outcome   |
      | silent | primary    | unknown   |
      | silent | replicated | unknown   |
      | alive  | primary    | completed |
      | alive  | replicated | completed |

  # Guards against a second run of a request that another holder completed.
  Scenario: terms return the stored answer through another holder
    When terms host "h1" writes "once" with primary durability
    And terms host "h2" keeps primary "m1"
    And terms host "h2" writes "once" with primary durability
    Then terms write "once" ends as replayed
    And terms note "once" exists 1 times

  # Guards against a paused holder that commits after it was replaced.
  Scenario: terms fence a holder that was paused before its commit
    Given terms member "m1" blocks commits
    When terms host "h1" starts replicated write "paused"
    And terms host "h2" keeps primary "m1"
    And terms member "m1" unblocks commits
    Then terms write "paused" ends as not_owner
    And terms note "paused" exists 0 times

  # Guards against refusing a request that may have run.
  Scenario: terms report a lost commit answer as unknown, its retry as replayed
    Given terms member "m1" loses its next commit answer
    When terms host "h1" writes "lost" with replicated durability
    Then terms write "lost" ends as unknown
    When terms host "h1" writes "lost" with replicated durability
    Then terms write "lost" ends as replayed
    And terms note "lost" exists 1 times

  # Guards against a second run of a request that is still running.
  Scenario: terms join two attempts of one request
    When terms host "h1" starts replicated write "twin"
    And terms host "h1" writes "twin" with replicated durability
    Then terms write "twin" ends as replayed
    And terms note "twin" exists 1 times

  # Guards against a late retry that runs after the request was settled as not
  # run.
  Scenario: terms refuse a retry of a settled request
    When terms host "h1" settles "never"
    Then terms write "never" ends as request_cancelled
    When terms host "h2" keeps primary "m1"
    And terms host "h2" writes "never" with primary durability
    Then terms write "never" ends as request_cancelled
    And terms note "never" exists 0 times

  # Guards against settling by a ledger row that a later primary may not have.
  Scenario Outline: terms settle a request only once its row is replicated
    When terms host "h1" writes "tally" with primary durability
    And terms replicas lag <lag_s> s
    And terms host "h1" writes "other" with primary durability
    And terms host "h1" settles "<label>"
    Then terms write "<label>" ends as <outcome>

    Examples:
      | lag_s | label | outcome           |
      | 0     | other | replayed          |
      | 30    | other | unknown           |
      | 0     | none  | request_cancelled |
      | 30    | none  | unknown           |

  # Guards against refusing by a cancelled row that a later primary may not
  # have.
  Scenario: terms confirm a cancelled row before they refuse a request by it
    Given terms replicas lag 30 s
    When terms host "h1" settles "never"
    And terms host "h1" writes "never" with primary durability
    Then terms write "never" ends as unknown

  # Guards against taking a uniqueness violation of a caller's own statement for
  # a repeated request.
  Scenario Outline: terms refuse rejected SQL as not run
    When terms host "h1" runs "INSERT INTO orders VALUES ('7')" as "first"
    And terms host "h1" runs "<sql>" as "second"
    Then terms write "second" ends as <outcome>

    Examples:
      | sql                             | outcome   |
      | INSERT INTO orders VALUES ('7') | sql_error |
      | INSERT INTO absent VALUES ('7') | sql_error |
      | INSERT INTO orders VALUES ('8') | completed |

  # Guards against a promotion that loses replicated writes.
  Scenario Outline: terms promote the newest member
    Given terms member "<lagging>" lags 30 s
    When terms host "h1" writes "order" with replicated durability
    And terms member "m1" becomes silent
    And terms host "h3" promotes the newest member
    Then terms primary is "<newest>"
    And terms note "order" exists 1 times

    Examples:
      | lagging | newest |
      | m2      | m3     |
      | m3      | m2     |

  # Guards against two primaries or two holders of one term.
  Scenario Outline: terms have one holder when two hosts promote
    Given terms platform is <platform>
    And terms member "m1" is silent
    When terms hosts "h2" and "h3" promote concurrently with seed <seed>
    Then terms have one holder and one primary at the highest term

    Examples:
      | platform | seed |
      | healthy  | 1    |
      | down     | 1    |
      | down     | 2    |
      | down     | 3    |

  # Guards against two primaries of one term after two attempts of one host.
  Scenario: terms give each attempt of a host its own term
    Given terms platform is down
    When terms keepers continue for 0.1 s
    And terms host "h2" keeps "m1" and "m3" concurrently
    Then terms have one holder and one primary at the highest term

  # Guards against a promotion by a host that missed a newer term.
  Scenario Outline: terms keepers do not support a promotion from an older view
    Given terms member "m1" is <state>
    Then terms keeper of "h2" sees primary of term <term> as <opinion>

    Examples:
      | state  | term | opinion   |
      | alive  | 1    | reachable |
      | silent | 1    | silent    |
      | silent | 0    | reachable |

  # Guards against a change of primary when only the owner changes.
  Scenario: terms hand a group over to its preferred owner
    Given terms owner of "m1" is moved to "h2"
    When terms keepers run for 3 s
    Then terms primary is "m1"
    And terms host "h2" is the holder at term 2

  # Guards against an outage of writes after the owner died, and against a
  # promotion because existing connections to the primary became silent.
  Scenario Outline: terms keep the primary of a dead holder
    Given terms host "h1" is dead
    And terms links of "<hosts>" to "m1" are silent
    And terms owner of "m1" is moved to "h2"
    When terms keepers run for 2 s
    Then terms primary is "m1"
    And terms host "h2" is the holder at term 2

    Examples:
      | hosts |
      | none  |
      | h2 h3 |

  # Guards against a group whose holder changes again and again.
  Scenario: terms leave a holder that cannot reach its primary
    When terms keepers run for 1 s
    And terms host "h1" is disconnected from "m1"
    Then terms writes succeed within 3 s
    When terms keepers continue for 6 s
    Then terms primary is "m1"
    And terms holder is not "h1" and serves writes for 30 s

  # Guards against keeping a primary whose replacement the host did not notice.
  Scenario: terms do not keep a member with an older log
    Given terms member "m3" lags 30 s
    When terms host "h1" writes "order" with replicated durability
    And terms host "h2" keeps primary "m3"
    Then terms primary is not "m3"
    And terms note "order" exists 1 times

  # Guards against a needless promotion while the primary is healthy.
  Scenario Outline: terms survive a disturbance without a promotion
    Given terms disturbance "<disturbance>"
    When terms keepers run for 5 s
    Then terms primary is "m1"
    And terms host "h1" is the holder at term 1

    Examples:
      | disturbance                           |
      | h2 is isolated from all               |
      | h2 is isolated from hosts and primary |
      | h2 has a silent link to the holder    |
      | h1 has a silent link to its primary   |
      | platform is down                      |
      | m3 is silent                          |

  # Guards against a failover gap above the objective of 2 s.
  Scenario Outline: terms promote within the objective after a primary fails
    Given terms platform is <platform>
    When terms keepers run for 1 s
    And terms member "m1" becomes silent
    Then terms writes succeed within 2 s
    And terms primary is not "m1"

    Examples:
      | platform       |
      | healthy        |
      | down           |
      | slow           |
      | losing answers |

  # Guards against a stale read through a holder that does not know that it was
  # replaced.
  Scenario: terms give no floor at a replaced holder
    When terms host "h1" writes "board" with replicated durability
    Then terms floor at "h1" includes write "board"
    When terms host "h2" keeps primary "m1"
    Then terms floor at "h1" is none
    And terms floor at "h2" includes write "board"

  # Guards against answering a query from a round that began before the query.
  Scenario: terms do not answer a query from an earlier round
    Given terms status answers to "h1" are held
    When terms host "h1" starts floor query "early"
    And terms host "h2" keeps primary "m1"
    And terms host "h1" starts floor query "late"
    And terms status answers are delivered
    Then terms floor query "early" ends as known
    And terms floor query "late" ends as none

  # Guards against a group that stays without a holder after all hosts
  # restarted.
  Scenario: terms are discovered by hosts without a view
    Given terms hosts restart without a view of the group
    When terms keepers run for 3 s
    Then terms primary is "m1"
    And terms writes succeed within 0.1 s

  # Guards against members that stay outside the group after a failure.
  Scenario Outline: terms reintegrate members
    Given terms replica "m3" stays at <place>
    When terms keepers run for 5 s
    Then terms primary is "m1"
    And terms members are all at one term

    Examples:
      | place         |
      | a lower term  |
      | a higher term |

  # Guards against an outage of writes that no host reports.
  Scenario: terms report refused writes until the outage ends
    When terms member "m1" becomes silent
    And terms member "m2" becomes silent
    And terms keepers run for 2 s
    Then terms host "h3" reports that writes are refused
    When terms members are reconnected
    And terms keepers continue for 6 s
    Then terms host "h3" reports no degraded path

  # Guards against mixed, lost or repeated interactive transactions.
  Scenario Outline: terms report the actual end of interactive transactions
    Given terms transaction "book" is open at "h1"
    When terms event "<event>" happens
    And terms transaction "book" is <ended>
    Then terms write "book" ends as <outcome>
    And terms note "book" exists <count> times

    Examples:
      | event                | ended           | outcome           | count |
      | nothing              | committed       | completed         | 1     |
      | nothing              | rolled back     | completed         | 0     |
      | newer term           | committed       | not_owner         | 0     |
      | holder closed        | committed       | no_transaction    | 0     |
      | commit answer lost   | committed       | unknown           | 1     |
      | primary silent       | continued       | no_primary        | 0     |
      | request settled      | committed       | request_cancelled | 0     |
      | idle for 60 s        | committed       | no_transaction    | 0     |
      | idle for 5 s         | committed       | completed         | 1     |
      | bad statement        | committed       | no_transaction    | 0     |
      | closed during a call | committed       | no_transaction    | 0     |

  # Guards against writes that wait 30 s for the lock of a transaction whose
  # name no caller received.
  Scenario: terms roll a transaction back when its begin was not received
    Given terms transaction "book" is open at "h1" with its answer lost
    When terms event "idle for 5 s" happens
    And terms transaction "book" is committed
    Then terms write "book" ends as no_transaction
    And terms note "book" exists 0 times

  # Guards against a floor that falls when the bounded table evicts a session.
  Scenario Outline: terms session table never lowers a floor
    Given terms session table for 2 sessions from position 5
    When terms sessions write "<writes>"
    Then terms session "<session>" has floor position <position>

    Examples:
      | writes              | session | position |
      | a:7                 | a       | 7        |
      | a:7                 | b       | 5        |
      | a:9 a:7             | a       | 9        |
      | a:7 b:8 c:9         | a       | 7        |
      | a:7 b:8 c:9         | d       | 7        |
      | a:7 b:8 a:9 c:10    | b       | 8        |

  # Guards against a ledger that grows forever, and against deleting a row while
  # its id is still accepted.
  Scenario Outline: terms delete only expired rows
    When terms host "h1" writes "old" with primary durability
    And terms clock advances by <hours> h
    And terms host "h1" deletes expired records
    Then terms record "old" is <state>
    And terms retry of "old" ends as <outcome>

    Examples:
      | hours | state   | outcome         |
      | 23    | kept    | replayed        |
      | 24    | kept    | request_expired |
      | 25    | deleted | request_expired |

  # Guards against lost or repeated writes after random sequences of failures.
  Scenario: terms keep every acknowledged write under random failures
    Then terms random histories neither lose nor repeat writes
