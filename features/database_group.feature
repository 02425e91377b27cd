Feature: The database group stand-in speaks the wire protocol of the platform
  Tests run hosts against this stand-in. Its answers must match those of real
  members, and its checks must report every broken rule and nothing else.

  # Guards against signatures that also fit another request or an incomplete
  # answer: a caller would accept the answer of another request.
  Scenario Outline: a signature is valid only for its request and all rows
    Given a database group
    When caller "a" sends "- PARSE m7 READ q2c" to "m1"
    And caller "a" sends "s1.t0.1 WRITE ab 5" to "m1"
    And caller "a" sends "s1.t0.2 EXECUTE m7 ab" to "m1"
    Then as an answer to "<id>" "<text>" without <count> rows its signature is "<verdict>"

    Examples:
      | id      | text            | count | verdict |
      | s1.t0.2 | EXECUTE mine ab | 0     | right   |
      | s1.t0.3 | EXECUTE mine ab | 0     | wrong   |
      | s1.t0.2 | EXECUTE mine ac | 0     | wrong   |
      | s1.t0.2 | EXECUTE its ab  | 0     | wrong   |
      | s1.t0.2 | READ ab         | 0     | wrong   |
      | s1.t0.2 | EXECUTE mine ab | 1     | wrong   |

  # Guards against a stand-in that accepts statements which a real member
  # refuses: it would hide faults of the hosts.
  Scenario Outline: statements are answered as by a real member
    Given a database group
    When caller "a" sends these requests to "<member>"
      """
      <requests>
      """
    Then caller "a" gets "<answer>"

    Examples:
      | member | requests                                                         | answer                                     |
      | m1     | s1.t0.1 WRITE a b c; s1.t0.2 READ a                              | DATAROW b c/DATAROW 1.1/*/COMPLETE */READY I 1.1 |
      | m1     | - BEGIN; s1.t1.1 WRITE a b; s1.t1.2 READ a                       | DATAROW b/DATAROW 1.0/*/COMPLETE */READY T 1.0   |
      | m1     | - BEGIN; s1.t1.1 WRITE a b; s1.t1.2 COMMIT                       | COMPLETE */READY I 1.1                     |
      | m1     | - BEGIN; s1.t1.1 WRITE a b; - ROLLBACK; s1.t0.1 READ a           | DATAROW -/*READY I 1.0                     |
      | m1     | - BEGIN READ; s1.t1.1 WRITE a b                                  | ERROR READONLY m1/READY E 1.0              |
      | m1     | - BEGIN READ; s1.t1.1 WRITE a b; s1.t1.2 READ a                  | ERROR MALFORMED */READY E 1.0              |
      | m1     | - BEGIN READ; s1.t1.1 WRITE a b; s1.t1.2 COMMIT                  | ERROR ABORTED */READY I 1.0                |
      | m1     | - BEGIN; - BEGIN                                                 | ERROR MALFORMED */READY E 1.0              |
      | m1     | s1.t0.1 COMMIT                                                   | ERROR MALFORMED */READY I 1.0              |
      | m1     | s1.t0.1 EXECUTE m7 a                                             | ERROR NOSUCHSTMT */READY I 1.0             |
      | m1     | - PARSE m7 READ q; - DISCARD; s1.t0.1 EXECUTE m7 a               | ERROR NOSUCHSTMT */READY I 1.0             |
      | m1     | - PARSE m7 READ q; - PARSE m7 READ q                             | ERROR MALFORMED */READY I 1.0              |
      | m1     | - PARSE m7 READ q; s1.t0.1 EXECUTE m7 a b                        | ERROR MALFORMED */READY I 1.0              |
      | m2     | s1.t0.1 WRITE a b                                                | ERROR READONLY m2/READY I 1.0              |
      | m2     | - BEGIN                                                          | ERROR READONLY m2/READY I 1.0              |
      | m2     | - BEGIN READ; s1.t1.1 READ a; s1.t1.2 COMMIT                     | COMPLETE */READY I 1.0                     |
      | m2     | s1.t0.1 WAITLSN 1.1 READ a                                       | ERROR LAGGING */READY I 1.0                |
      | m2     | - WAITLSN 1.1 BEGIN READ                                         | ERROR LAGGING */READY I 1.0                |
      | m2     | s1.t0.1 WAITLSN 1.0 WRITE a b                                    | ERROR MALFORMED */READY I 1.0              |
      | m2     | - STATUS                                                         | DATAROW replica 1 1.0 0 0 0 1/COMPLETE -/READY I 1.0 |
      | m2     | - PAUSE 1                                                        | DATAROW replica 1 1.0 0 */READY I 1.0      |
      | m2     | - PAUSE 2                                                        | DATAROW replica 1 1.0 2 */READY I 1.0      |
      | m2     | - PAUSE 2; - RESUME                                              | DATAROW replica 1 1.0 0 */READY I 1.0      |
      | m1     | - PAUSE 2                                                        | DATAROW primary 1 1.0 0 */READY I 1.0      |
      | m1     | - STEPDOWN 1                                                     | DATAROW primary 1 1.0 0 */READY I 1.0      |
      | m1     | - STEPDOWN 2                                                     | DATAROW replica 1 1.0 0 */READY I 1.0      |
      | m1     | - BEGIN; - STEPDOWN 2; s1.t1.1 READ a                            | ERROR READONLY m1/READY E 1.0              |
      | m1     | - BEGIN; s1.t1.1 READ a; - STEPDOWN 2; s1.t1.2 COMMIT            | COMPLETE */READY I 1.0                     |
      | m1     | - BEGIN; s1.t1.1 WRITE a b; - STEPDOWN 2; s1.t1.2 COMMIT         | ERROR READONLY m1/READY E 1.0              |

  # Guards against a connection that reaches another member than the intended
  # one: its caller would read another database.
  Scenario Outline: a connection to the wrong member or over the limit is refused
    Given a database group with "max_connections" 1
    When caller "a" sends "- STATUS" to "m1"
    And caller "b" starts with "<start>" at "<member>"
    Then caller "b" gets "<answer>"
    And the connection of caller "b" is closed

    Examples:
      | member | start          | answer             |
      | m2     | other me m2    | ERROR WRONGNODE m2 |
      | m2     | g1 me m3       | ERROR WRONGNODE m2 |
      | m1     | g1 me m1       | ERROR CONNLIMIT *  |

  # Hosts repeat a statement that was refused because of a full queue. If it
  # had run, it would run twice.
  Scenario: a statement that finds a full queue is refused and does not run
    Given a database group with "write_ms" 600000
    When caller "a" sends "- STATUS" to "m1"
    And 10 callers send "WRITE a b" to "m1" without reading the answers
    And caller "a" sends "s1.t0.1 READ a" to "m1"
    Then caller "a" gets "ERROR RETRY */READY I 1.0"
    And the group has committed ""

  # Guards against an acknowledged commit that no replica has: it would be lost
  # with the primary.
  Scenario Outline: a commit is acknowledged once a replica has received it
    Given a database group
    When the fault "deaf" is set at "<deaf>"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1" without reading the answer
    Then caller "a" gets "<answer>"

    Examples:
      | deaf  | answer                 |
      | m2    | COMPLETE */READY I 1.1 |
      | m2 m3 | nothing                |

  # A commit in flight has an unknown outcome when the primary loses leadership.
  # Any other answer would let a host repeat a write that was committed.
  Scenario: a commit in flight is answered as timed out when leadership is lost
    Given a database group
    When the fault "deaf" is set at "m2 m3"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1" without reading the answer
    Then caller "a" gets "nothing"
    When "m2" is promoted
    Then caller "a" gets "ERROR TIMEOUT */READY I 1.0"
    And the group has committed ""
    And the group records ""

  # Guards against a stand-in whose requests to resume are all carried out at once: hosts that
  # rely on the pause of a replica would lose commits beside others only (LOST, issue 47).
  Scenario: a request to resume is carried out late
    Given a database group
    When the fault "late_resume" is set at "m2"
    And caller "a" sends "- PAUSE 5" to "m2"
    Then caller "a" gets "DATAROW replica 1 1.0 5 */COMPLETE */READY I 1.0"
    When caller "a" sends "- RESUME" to "m2" without reading the answer
    And caller "b" sends "- STATUS" to "m2"
    Then caller "b" gets "DATAROW replica 1 1.0 5 */COMPLETE */READY I 1.0"
    And member "m2" eventually reports "replica 1 1.0 0 *"

  # Guards against positions of a new term that include commits which the
  # promotion rolled back.
  Scenario: a promotion rolls back commits that the new primary lacks
    Given a database group
    When the fault "deaf" is set at "m2"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And "m2" is promoted
    Then the promotion returns term 2
    When "m2" is promoted
    Then the promotion returns term 2
    And the group has committed ""
    And the group records "LOST"
    When caller "b" sends "s1.t0.2 READ a" to "m2"
    Then caller "b" gets "DATAROW -/DATAROW 2.0/*/READY I 2.0"
    And member "m3" eventually reports "replica 2 2.0 *"

  # Guards against a restarted member that serves or keeps commits which the
  # other members rolled back.
  Scenario: a crashed primary restarts as a replica in the new term
    Given a database group
    When caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And the fault "crash" is set at "m1" for 1 s
    Then the connection of caller "a" is closed
    When "m1" is promoted
    Then the promotion is refused
    When "m2" is promoted
    Then the promotion returns term 2
    And member "m1" eventually reports "replica 2 2.1 *"
    When caller "b" sends "s1.t0.2 WRITE a c" to "m2"
    Then caller "b" gets "COMPLETE */READY I 2.2"
    And the group has committed "s1.t0.1 s1.t0.2"

  # A refused statement may be repeated on another connection. If the checks
  # counted it as run, they would report a violation that did not happen.
  Scenario: a statement refused after a loss of leadership may run elsewhere
    Given a database group with "write_ms" 300
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" sends "s1.t1.1 WRITE a b" to "m1" without reading the answer
    And "m2" is promoted
    Then caller "a" gets "ERROR READONLY */READY E *"
    When caller "b" sends "- BEGIN" to "m2"
    And caller "b" sends "s1.t1.1 WRITE a b" to "m2"
    Then the group records ""

  # Guards against a transaction that is committed although its caller has
  # disconnected.
  Scenario: closing a connection rolls its transaction back
    Given a database group
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" sends "s1.t1.1 WRITE a b" to "m1"
    And caller "a" sends "TERMINATE" to "m1" without reading the answer
    Then the connection of caller "a" is closed
    And member "m1" eventually reports "primary 1 1.0 0 0 0 0"
    And the group has committed ""

  # Each injected fault must look to the hosts like the same fault of a real
  # member.
  Scenario Outline: answers are lost, cut off or never sent under faults
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "<fault>" is set at "m1"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1" without reading the answer
    Then caller "a" gets "<answer>"
    And the group eventually has committed "<kept>"
    When caller "b" starts with "g1 me m1" at "m1"
    Then caller "b" gets "<start>"

    Examples:
      | fault              | answer  | kept    | start       |
      | answer_lost        | nothing | s1.t0.1 | nothing     |
      | answer_cut         | a part  | s1.t0.1 | a part      |
      | forget_connections | nothing |         | READY I 1.0 |

  # A host may time out after the first part of an answer. It must not read
  # the rest as the answer to another request.
  Scenario: an answer arrives in two pieces
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "answer_split" is set at "m1"
    And caller "a" sends "s1.t0.1 READ a" to "m1" without reading the answer
    Then caller "a" gets 2 pieces that make up "DATAROW -/*/READY I 1.0/"

  # Hosts must distinguish an unreachable machine from one that refuses
  # connections, so the stand-in must neither answer nor refuse.
  Scenario Outline: an unreachable member answers nothing until the fault ends
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "dark" is set at "m1" for <for_s> s
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1" without reading the answer
    Then caller "a" gets "nothing"
    And no caller can connect to "m1"
    And caller "a" gets "<answer>"
    When caller "b" sends "s2.t0.1 READ a" to "m1"
    Then caller "b" gets "DATAROW <content>/*"

    Examples:
      | for_s | answer                 | content |
      | 2     | COMPLETE */READY I 1.1 | b       |
      | 4     | a part                 | -       |

  # Hosts find members only by their registrations. A registration that is
  # updated only with the heartbeat would show a former primary for too long.
  Scenario: a change of role is registered at once, before the next heartbeat
    Given a database group with "heartbeat_ms" 600000
    Then the store eventually holds "m1" as "g1 a ready primary"
    When "m2" is promoted
    Then the store eventually holds "m2" as "g1 b ready primary"
    And the store eventually holds "m1" as "g1 a ready replica"

  # Guards against registrations that remain after their member has left: hosts
  # would keep connecting to its address.
  Scenario: registrations of members that left or crashed are removed
    Given a database group
    Then the store eventually holds "m1" as "g1 a ready primary"
    When "m1" is drained for 1 s and replaced
    Then the store eventually holds "m1" as "g1 a draining primary"
    And the store eventually holds "m1" as "nothing"
    And the store eventually holds "m1-1" as "g1 a ready replica"
    When caller "a" starts with "g1 me m1" at "m1"
    Then caller "a" gets "ERROR WRONGNODE m1-1"
    When the fault "crash" is set at "m3" for 600 s
    Then the store eventually holds "m3" as "nothing"

  # Guards against a stand-in whose new members start only after the old ones
  # have left: a host that does not know a member that receives loses commits.
  Scenario: a member that replaces another one receives before the other leaves
    Given a database group
    When caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And "m2" is replaced after 1 s and drains for 1 s
    Then the store eventually holds "g1-b-new1" as "g1 b ready replica"
    And member "g1-b-new1" eventually reports "replica 1 1.1 *"
    And member "m2" eventually reports "replica 1 1.1 *"
    And the store eventually holds "m2" as "g1 b draining replica"
    And the store eventually holds "m2" as "nothing"
    And the members are eventually "m1 m3 g1-b-new1"

  # Guards against a restarted member that keeps its pause, or that keeps a log
  # which a member without its disk does not have.
  Scenario Outline: a replica that starts again keeps its log or forgets it
    Given a database group
    When caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And caller "b" sends "- PAUSE 2" to "m2"
    And the fault "<primary>" is set at "m1"
    And the fault "<fault>" is set at "m2" for 0 s
    Then member "m2" eventually reports "<status>"

    Examples:
      | primary | fault    | status          |
      | crash   | crash    | replica 1 1.1 0 * |
      | crash   | lose_log | replica 1 1.0 0 * |
      | deaf    | lose_log | replica 1 1.1 0 * |

  # Guards against members that always have a free connection: hosts would never
  # be refused one, as they are where all connections are in use.
  Scenario Outline: connections of other programs count against the limit
    Given a database group with "max_connections" 4
    When <count> connections of "m1" are occupied
    And caller "a" starts with "g1 me m1" at "m1"
    Then caller "a" gets "<answer>"

    Examples:
      | count | answer             |
      | 3     | READY I 1.0        |
      | 4     | ERROR CONNLIMIT *  |

  # Guards against a lost commit that is reported without the promotion that
  # lost it, and against one that only a lost log has and that goes unnoticed.
  Scenario: a promotion names the acknowledged commits that it loses
    Given a database group
    When the fault "deaf" is set at "m2"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And the fault "crash" is set at "m1"
    And the fault "lose_log" is set at "m3"
    And "m2" is promoted
    Then the promotion of "m2" lost "1.1 s1.t0.1", received by "m3" and held by "m1"

  # Guards against checks that miss a broken rule or report one that was
  # followed: the results of the live test would prove nothing.
  Scenario Outline: broken rules are recorded
    Given a database group
    When caller "a" sends these requests to "m1"
      """
      <requests>
      """
    Then the group records "<rule>"

    Examples:
      | requests                                                                  | rule    |
      | - BEGIN; s1.t1.1 READ a; s1.t1.2 WRITE a b; s1.t1.3 COMMIT; s2.t0.1 READ a |         |
      | - SET owner s1; s1.t0.1 READ a; - DISCARD; s2.t0.1 READ a                 |         |
      | - SET owner s1; s1.t0.2 READ a; - DISCARD; s1.t0.1 READ a                 |         |
      | - BEGIN; - ROLLBACK; - STATUS                                             |         |
      | - BEGIN; s1.t1.1 READ a; s2.t1.2 READ a                                   | PINNED  |
      | - BEGIN; s1.t1.1 READ a; s1.t2.2 READ a                                   | PINNED  |
      | - BEGIN; s1.t1.1 READ a; s1.t0.2 READ a                                   | PINNED  |
      | - BEGIN; s1.t1.1 READ a; s2.t1.2 COMMIT                                   | PINNED  |
      | s1.t1.1 READ a                                                            | PINNED  |
      | - SET owner s1; s2.t0.1 READ a                                            | PINNED  |
      | - SET owner s1; s1.t0.1 READ a; - DISCARD; s1.t0.2 READ a                 | PINNED  |
      | - READ a                                                                  | UNASKED |
      | - WRITE a b                                                               | UNASKED |
      | - BEGIN; - COMMIT                                                         | UNASKED |
      | s1.t0.1 WRITE a b; s1.t0.1 WRITE a b                                      | TWICE   |

  # Guards against a transaction whose second half runs on another connection,
  # without the first half.
  Scenario: a transaction that moves to another connection is recorded
    Given a database group
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" sends "s1.t1.1 READ a" to "m1"
    And caller "b" sends "- BEGIN" to "m1"
    And caller "b" sends "s1.t1.2 READ a" to "m1"
    Then the group records "PINNED"

  # With two requests in flight on one connection, their answers can be
  # confused.
  Scenario: a request sent before the previous answer is recorded and answered
    Given a database group
    When caller "a" sends "s1.t0.1 WRITE a b" to "m1" without reading the answer
    And caller "a" sends "s1.t0.2 READ a" to "m1" without reading the answer
    Then caller "a" gets "COMPLETE */READY I 1.1"
    And caller "a" gets "DATAROW b/*/READY I 1.1"
    And the group records "PIPELINED"

  # A transaction that a host never ends occupies one of a limited number of
  # connections.
  Scenario: a transaction that is never ended is recorded
    Given a database group that records idle transactions after 200 ms
    When caller "a" sends "- BEGIN" to "m1"
    Then the group eventually records "STUCK"

  # Guards against differences in the wire format between the hosts' client and
  # the process of the stand-in.
  Scenario: the hosts' client reads the status and begins a transaction
    Given the process of a database group
    When the hosts' client connects to "m1"
    Then the member reports that it is the primary at 1.0
    And the begin of a transaction is completed
