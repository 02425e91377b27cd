Feature: A database group on the platform's wire
  Hosts are run against this stand-in, so its answers have to be those of real
  members, and its checks have to find each broken rule and nothing else.

  # A changed signature would let a caller take the answer of another request.
  Scenario Outline: an answer belongs to one request and is whole
    Given a database group
    When caller "a" sends "- PARSE m7 READ q2c" to "m1"
    And caller "a" sends "s1.t0.1 WRITE ab 5" to "m1"
    And caller "a" sends "s1.t0.2 EXECUTE m7 ab" to "m1"
    Then as an answer to "<id>" "<text>" without <count> rows it is "<verdict>"

    Examples:
      | id      | text            | count | verdict |
      | s1.t0.2 | EXECUTE mine ab | 0     | right   |
      | s1.t0.3 | EXECUTE mine ab | 0     | wrong   |
      | s1.t0.2 | EXECUTE mine ac | 0     | wrong   |
      | s1.t0.2 | EXECUTE its ab  | 0     | wrong   |
      | s1.t0.2 | READ ab         | 0     | wrong   |
      | s1.t0.2 | EXECUTE mine ab | 1     | wrong   |

  # A stand-in that accepts more than a member would hide faults of the hosts.
  Scenario Outline: answers to one statement after another
    Given a database group
    When caller "a" sends these to "<member>"
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

  # A caller that took another member for its own would read another database.
  Scenario Outline: a start is refused
    Given a database group with "max_connections" 1
    When caller "a" sends "- STATUS" to "m1"
    And caller "b" starts with "<start>" at "<member>"
    Then caller "b" gets "<answer>"
    And caller "b" is closed

    Examples:
      | member | start          | answer             |
      | m2     | other me m2    | ERROR WRONGNODE m2 |
      | m2     | g1 me m3       | ERROR WRONGNODE m2 |
      | m1     | g1 me m1       | ERROR CONNLIMIT *  |

  # Hosts repeat what was refused for load, so it must not have run.
  Scenario: a full queue refuses at once and runs nothing
    Given a database group with "write_ms" 600000
    When caller "a" sends "- STATUS" to "m1"
    And 10 callers leave "WRITE a b" unanswered at "m1"
    And caller "a" sends "s1.t0.1 READ a" to "m1"
    Then caller "a" gets "ERROR RETRY */READY I 1.0"
    And the group keeps ""

  # A commit that no replica holds would be lost with the primary.
  Scenario Outline: a commit is acknowledged once a replica has received it
    Given a database group
    When the fault "deaf" is set at "<deaf>"
    And caller "a" leaves "s1.t0.1 WRITE a b" unanswered at "m1"
    Then caller "a" gets "<answer>"

    Examples:
      | deaf  | answer                 |
      | m2    | COMPLETE */READY I 1.1 |
      | m2 m3 | nothing                |

  # An answer that promised too much would let a host repeat a kept write.
  Scenario: a commit under way promises nothing when the lead is lost
    Given a database group
    When the fault "deaf" is set at "m2 m3"
    And caller "a" leaves "s1.t0.1 WRITE a b" unanswered at "m1"
    Then caller "a" gets "nothing"
    When "m2" is promoted
    Then caller "a" gets "ERROR TIMEOUT */READY I 1.0"
    And the group keeps ""
    And the group records ""

  # Positions of a new term must not claim commits that were rolled back.
  Scenario: a promotion rolls back what the chosen member lacks
    Given a database group
    When the fault "deaf" is set at "m2"
    And caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And "m2" is promoted
    Then the promotion gives the term 2
    When "m2" is promoted
    Then the promotion gives the term 2
    And the group keeps ""
    And the group records "LOST"
    When caller "b" sends "s1.t0.2 READ a" to "m2"
    Then caller "b" gets "DATAROW -/DATAROW 2.0/*/READY I 2.0"
    And member "m3" comes to report "replica 2 2.0 *"

  # A member that was away must not serve or keep what the others rolled back.
  Scenario: a crashed primary comes back as a replica of the new term
    Given a database group
    When caller "a" sends "s1.t0.1 WRITE a b" to "m1"
    And the fault "crash" is set at "m1" for 1 s
    Then caller "a" is closed
    When "m1" is promoted
    Then the promotion is refused
    When "m2" is promoted
    Then the promotion gives the term 2
    And member "m1" comes to report "replica 2 2.1 *"
    When caller "b" sends "s1.t0.2 WRITE a c" to "m2"
    Then caller "b" gets "COMPLETE */READY I 2.2"
    And the group keeps "s1.t0.1 s1.t0.2"

  # A statement that was refused may be repeated, so it must not count as run.
  Scenario: a statement refused for a lost lead may run elsewhere
    Given a database group with "write_ms" 300
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" leaves "s1.t1.1 WRITE a b" unanswered at "m1"
    And "m2" is promoted
    Then caller "a" gets "ERROR READONLY */READY E *"
    When caller "b" sends "- BEGIN" to "m2"
    And caller "b" sends "s1.t1.1 WRITE a b" to "m2"
    Then the group records ""

  # A transaction of a caller that has gone must not be kept.
  Scenario: a closed connection rolls back
    Given a database group
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" sends "s1.t1.1 WRITE a b" to "m1"
    And caller "a" leaves "TERMINATE" unanswered at "m1"
    Then caller "a" is closed
    And member "m1" comes to report "primary 1 1.0 0 0 0 0"
    And the group keeps ""

  # Each fault has to show the hosts what they would see of a real member.
  Scenario Outline: faults of answers
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "<fault>" is set at "m1"
    And caller "a" leaves "s1.t0.1 WRITE a b" unanswered at "m1"
    Then caller "a" gets "<answer>"
    And the group comes to keep "<kept>"
    When caller "b" starts with "g1 me m1" at "m1"
    Then caller "b" gets "<start>"

    Examples:
      | fault              | answer  | kept    | start       |
      | answer_lost        | nothing | s1.t0.1 | nothing     |
      | answer_cut         | a part  | s1.t0.1 | a part      |
      | forget_connections | nothing |         | READY I 1.0 |

  # A host whose limit ends amid an answer must not take the rest for another.
  Scenario: an answer in two pieces
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "answer_split" is set at "m1"
    And caller "a" leaves "s1.t0.1 READ a" unanswered at "m1"
    Then caller "a" gets 2 pieces that make up "DATAROW -/*/READY I 1.0/"

  # A host must tell a machine that is out of reach from one that refuses.
  Scenario Outline: a dark member answers nothing until it is back
    Given a database group
    When caller "a" sends "- STATUS" to "m1"
    And the fault "dark" is set at "m1" for <for_s> s
    And caller "a" leaves "s1.t0.1 WRITE a b" unanswered at "m1"
    Then caller "a" gets "nothing"
    And no caller can connect to "m1"
    And caller "a" gets "<answer>"
    When caller "b" sends "s2.t0.1 READ a" to "m1"
    Then caller "b" gets "DATAROW <content>/*"

    Examples:
      | for_s | answer                 | content |
      | 2     | COMPLETE */READY I 1.1 | b       |
      | 4     | a part                 | -       |

  # Hosts find members by their entries only.
  Scenario: registrations change at once and not only with a heartbeat
    Given a database group with "heartbeat_ms" 600000
    Then the store comes to hold "m1" as "g1 a ready primary"
    When "m2" is promoted
    Then the store comes to hold "m2" as "g1 b ready primary"
    And the store comes to hold "m1" as "g1 a ready replica"

  # An entry of a member that has gone draws connections to its address.
  Scenario: entries of members that have gone are removed
    Given a database group
    Then the store comes to hold "m1" as "g1 a ready primary"
    When "m1" leaves after 1 s and is replaced
    Then the store comes to hold "m1" as "g1 a draining primary"
    And the store comes to hold "m1" as "nothing"
    And the store comes to hold "m1-1" as "g1 a ready replica"
    When caller "a" starts with "g1 me m1" at "m1"
    Then caller "a" gets "ERROR WRONGNODE m1-1"
    When the fault "crash" is set at "m3" for 600 s
    Then the store comes to hold "m3" as "nothing"

  # A check that misses a broken rule, or sees one where none is, is no proof.
  Scenario Outline: broken rules are recorded
    Given a database group
    When caller "a" sends these to "m1"
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

  # The second half of a transaction would run without the first.
  Scenario: a transaction that moves to another connection is recorded
    Given a database group
    When caller "a" sends "- BEGIN" to "m1"
    And caller "a" sends "s1.t1.1 READ a" to "m1"
    And caller "b" sends "- BEGIN" to "m1"
    And caller "b" sends "s1.t1.2 READ a" to "m1"
    Then the group records "PINNED"

  # Answers to two requests at once can be taken for one another.
  Scenario: a request before the earlier answer is recorded and answered
    Given a database group
    When caller "a" leaves "s1.t0.1 WRITE a b" unanswered at "m1"
    And caller "a" leaves "s1.t0.2 READ a" unanswered at "m1"
    Then caller "a" gets "COMPLETE */READY I 1.1"
    And caller "a" gets "DATAROW b/*/READY I 1.1"
    And the group records "PIPELINED"

  # A transaction that a host forgot holds one of few connections.
  Scenario: a transaction that nobody ends is recorded
    Given a database group that records transactions after 200 ms
    When caller "a" sends "- BEGIN" to "m1"
    Then the group comes to record "STUCK"

  # The hosts' own client and the process have to fit each other.
  Scenario: the hosts' client talks to the process
    Given the process of a database group
    When the hosts' client connects to "m1"
    Then its status is that of a primary at 1.0
    And its empty transaction is completed
