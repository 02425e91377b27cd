Feature: draining
  Leaving targets, planned switchovers of the primary and graceful shutdown of
  hosts. The scenarios that start a deployment run real processes, whose members
  replicate with a lag of 20 ms if not stated otherwise. The other scenarios run
  fakes on virtual time.

  # Guards against a leaving primary that still gets new work, and against a
  # planned switchover that fails requests or loses writes which only the old
  # primary holds.
  Scenario Outline: draining moves the primary off a leaving target, lag <lag>
    Given draining deployment of 3 hosts
    And draining members replicate with a lag of <lag> ms
    And draining stream with writes of durability "primary"
    When draining operators mark the primary as leaving
    Then draining primary is another member within 5 s
    And draining old primary gets no statement later than 3 s after the mark
    And draining stream is completed without a failure
    And draining primary holds every acknowledged write

    # With a lag of 1000 ms, only the primary can serve the reads of a session
    # that wrote.
    Examples:
      | lag  |
      | 20   |
      | 1000 |

  # Guards against a switchover to a member that lacks acknowledged writes,
  # against new work for a leaving primary whose switchover has to wait, and
  # against open transactions that are aborted although they could still end.
  Scenario: draining refuses writes while no other member has caught up
    Given draining deployment of 3 hosts
    And draining log shipping of the primary is stopped
    And draining write "early" of durability "primary" is completed
    And draining transaction is open
    When draining operators mark the primary as leaving
    Then draining write is refused as "target_leaving" 3 s after the mark
    And draining transaction commits the row "parked"
    When draining log shipping of the primary is resumed
    Then draining primary is another member within 5 s
    And draining write "late" of durability "replicated" is completed
    And draining primary holds every acknowledged write

  # Guards against two concurrent promotions that both report success, and
  # against the promotion of a member that lacks acknowledged writes.
  Scenario: draining completes one of two concurrent promotions
    Given draining deployment of 3 hosts
    And draining write "early" of durability "primary" is completed
    When draining operators promote both replicas at once
    Then draining one promotion is completed and one is "promotion_failed"
    And draining primary is the promoted member
    When draining log shipping of the primary is stopped
    And draining write "only here" of durability "primary" is completed
    And draining operators promote a replica
    Then draining promotion is refused as "promotion_failed"
    And draining primary holds every acknowledged write

  # Guards against a graceful shutdown that interrupts requests in flight, fails
  # requests of other hosts, or does not tell callers that their connection is
  # about to close.
  Scenario Outline: draining stops <host> by <way> without a failure
    Given draining deployment of 4 hosts
    And draining stream with writes of durability "replicated"
    And draining long read of another host is in flight at <host>
    And draining long reads are in flight through all hosts
    When draining host is stopped by <way>
    Then draining stopped host answers with the header "Connection: close"
    And draining stopped host exits with code 0
    And draining group was handed over before the exit
    And draining long read of another host is completed
    And draining stream is completed without a failure
    And draining primary holds every acknowledged write

    Examples:
      | host              | way      |
      | the holder        | SIGTERM  |
      | a replica's owner | operator |

  # Guards against a host that the platform removes while it still holds terms.
  Scenario: draining stops a host that the platform lists as leaving
    Given draining deployment of 3 hosts
    And draining write "listed" of durability "replicated" is completed
    When draining host is stopped by the platform's list
    Then draining stopped host exits with code 0
    And draining group was handed over before the exit
    And draining primary holds every acknowledged write

  # Guards against a graceful shutdown that aborts open transactions or a
  # request whose body is still arriving, and against transactions whose begin
  # fails because the term is being handed over.
  Scenario: draining finishes open transactions before the handover
    Given draining deployment of 3 hosts
    And draining transaction is open
    And draining half of a request was sent to the holder
    When draining host is stopped by SIGTERM
    And draining second transaction begins during the stop
    Then draining transaction commits the row "first"
    And draining second transaction is open at another host
    And draining request is answered when its other half arrives 2 s later
    And draining stopped host exits with code 0
    And draining primary holds every acknowledged write

  # Guards against a planned promotion that loses a write which only the primary
  # holds: the logs of the other members are a majority and do not contain it.
  Scenario Outline: draining promotes only members with the primary's last entry
    Given draining terms with a write that only the primary "m1" holds
    When draining host "h1" acquires a term for "m2" while "m1" is <state>
    Then draining terms have the primary "m1" at a <term> term

    Examples:
      | state     | term  |
      | silent    | same  |
      | reachable | newer |

  # Guards against two members that lead the same term: one host changes the
  # primary twice at the same time, and is granted the same term for both.
  Scenario: draining makes one primary change of a group at a time
    Given draining terms with members "m2" and "m3" at one position
    When draining host "h1" acquires terms for "m2" and "m3" at once
    Then draining terms have one primary at each term

  # Guards against an automatic promotion of a leaving target while another
  # member has the same log.
  Scenario Outline: draining promotes a leaving member only if its log is newest
    Given draining terms with members "m2" and "m3" <logs>
    And draining terms know that "m3" is leaving
    When draining primary "m1" fails and host "h1" promotes
    Then draining terms have the primary "<primary>" at a newer term

    Examples:
      | logs                 | primary |
      | at one position      | m2      |
      | of which m3 is newer | m3      |

  # Guards against new work on a leaving member that was promoted because only
  # its log was complete.
  Scenario: draining moves the primary off a leaving member that was promoted
    Given draining terms with members "m2" and "m3" of which m3 is newer
    And draining terms know that "m3" is leaving
    When draining primary "m1" fails and host "h1" promotes
    Then draining terms answer a write with "target_leaving"
    When draining terms replicate and keepers run for 5 s
    Then draining terms have the primary "m2" at a newer term
    And draining terms answer a write with "completed"

  # Guards against refusals after a handover: all requests in flight are retried
  # at once and spend the retry budget of their host. An entry host learns of
  # the new term before its holder serves. With five other busy processes on
  # the machine, up to 25 writes per handover were refused as
  # retry_budget_spent.
  Scenario Outline: draining routes requests again after a handover
    When draining entry host sends 100 writes that meet a handover to a holder that serves after <delay_ms> ms
    Then draining entry host completes all writes

    Examples:
      | delay_ms |
      | 0        |
      | 300      |

  # Guards against refusals during a switchover that waits for replicas with a
  # lag of a second, or during the handover of the term to another host. With
  # other busy processes on the machine, up to 53 writes were refused.
  Scenario Outline: draining lets writes wait while the holder <state>
    Given draining terms with members "m2" and "m3" at one position
    And draining holder <state>
    When draining write with a deadline of 8 s waits for 3 s
    And draining writes at the holder go on
    Then draining write that waited is completed

    Examples:
      | state                    |
      | is changing the primary  |
      | is handing the term over |
