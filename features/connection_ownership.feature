Feature: Each answer belongs to its request, and each connection to one caller
  A connection to a member is used by one caller at a time and is idle when it
  is released. Otherwise, a caller could get the answer of another caller, or
  its statement could run in the transaction of another caller.

  # Guards against a rollback that is sent while a statement of the same
  # transaction runs. The two concurrent requests on one connection caused the
  # pool to lose the connection, or to lend it with an unread answer.
  Scenario: a relayed transaction is rolled back while its statement runs
    Given a host with 2 connections to p that serves callers of other hosts
    And member p blocks each WRITE
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And the transaction of caller one is abandoned
    And member p resumes after a short time
    Then member p never had two requests at once on a connection
    And all connections to member p are idle again
    And each success has the signature of its own request
    And the writes kept by member p match what each caller was told

  # Guards against the incident MIXED: the rollback read the answer of the
  # statement, the statement then read concurrently with the next caller, and
  # each later caller got the answer of the caller before it.
  Scenario: an answer that arrives during the rollback shifts no other answers
    Given a host with 1 connection to p that serves callers of other hosts
    And the rollback of caller one starts as its READ is answered
    When caller one begins at another host and sends read without waiting
    And local callers two, three and four send read as soon as it is answered
    Then each success has the signature of its own request
    And all replies to caller four are successes
    And all connections to member p are idle again

  # Guards against a statement that is retried after a busy answer although its
  # transaction has ended: it ran on a connection that was already idle.
  Scenario: a relayed transaction is rolled back while its statement is retried
    Given a host with 2 connections to p that serves callers of other hosts
    And member p refuses each WRITE of caller one as busy until a rollback
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And the transaction of caller one is abandoned
    Then all connections to member p are idle again
    And the writes kept by member p match what each caller was told

  # Guards against a retried statement that joins the transaction of the next
  # caller, which has borrowed the connection in the meantime.
  Scenario: a retried statement does not join the next caller's transaction
    Given a host with 1 connection to p that serves callers of other hosts
    And member p refuses each WRITE of caller one as busy until a rollback
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And caller two begins at another host and sends write without waiting
    And the transaction of caller one is abandoned
    And caller two has received its answer
    And a short time passes
    And caller two commits
    Then no transaction at member p has statements of two callers
    And all connections to member p are idle again
    And the writes kept by member p match what each caller was told

  # Guards against a transaction that is rolled back while it is being opened:
  # it was opened after the rollback and never ended.
  Scenario Outline: a relayed transaction is rolled back while it <phase>
    Given a host with 1 connection to p that serves callers of other hosts
    And <obstacle>
    When caller one begins at another host and sends write without waiting
    And <arrival>
    And the transaction of caller one is abandoned
    And <end>
    Then all connections to member p are idle again
    And the writes kept by member p match what each caller was told

    Examples: phases
      | phase                  | obstacle                                          | arrival                        | end                                             |
      | waits for a connection | all connections to member p are borrowed          | a short time passes            | the connections are released after a short time |
      | is begun at the member | member p blocks each BEGIN                        | the BEGIN has reached member p | member p resumes after a short time             |
      | is refused             | member p refuses the next WRITE after blocking it | the WRITE has reached member p | member p resumes after a short time             |

  # Guards against two hosts whose transactions have the same key: the second
  # replaced the first, and one caller committed the writes of the other.
  Scenario: a transaction with a key in use neither joins nor replaces another
    Given a host with 2 connections to p that serves callers of other hosts
    When callers one and two of two hosts begin with the same key and send write
    And caller one commits with that key
    And caller two, if its write succeeded, commits with that key
    Then no transaction at member p has statements of two callers
    And each success has the signature of its own request
    And the writes kept by member p match what each caller was told
    And all connections to member p are idle again

  # Guards against keys built from values that two host processes may share,
  # such as memory addresses and counters. Here the hosts differ only in name.
  Scenario: transactions of two hosts have different keys
    Given a host with 2 connections to p that serves callers of other hosts
    When callers one and two begin at hosts with equal clocks and random numbers
    And relayed caller one sends write
    And relayed caller two sends write
    And caller one commits
    And caller two commits
    Then all statements of the callers succeeded
    And no transaction at member p has statements of two callers
    And the writes kept by member p match what each caller was told
    And all connections to member p are idle again

  # Guards against a restarted host that reuses the key of a transaction from
  # before the restart, which may still be open at another host.
  Scenario: a restarted host does not reuse its keys
    Then two processes of one host make different keys

  # Guards against connections that are released in an open or failed
  # transaction. The statement of the next caller ran in the transaction of a
  # probe, so that it was reported as a success and not kept, or it failed
  # without a cause of its own.
  Scenario Outline: a connection is released in a state other than idle, <case>
    Given a host with 1 connection to p that serves callers of other hosts
    And member p answers the next <request> with <answer>
    When <use>
    And local caller two sends write
    Then all replies to caller two are successes
    And each success has the signature of its own request
    And the writes kept by member p match what each caller was told
    And no transaction at member p has statements of two callers
    And all connections to member p are idle again

    Examples: uses
      | case                    | request    | answer               | use                                                 |
      | after a probe's end     | ROLLBACK   | RETRY and state T    | the host probes member p                            |
      | after a failed probe    | ROLLBACK   | FAILED and state E   | the host probes member p                            |
      | after a refused probe   | BEGIN      | RETRY and state E    | the host probes member p                            |
      | after a status          | STATUS     | RETRY and state E    | the host asks member p for its status               |
      | after a refused read    | READ one   | LAGGING and state E  | local caller one sends read                         |
      | after a failed read     | READ one   | FAILED and state E   | local caller one sends read                         |
      | after a refused write   | WRITE one  | RETRY and state E    | local caller one sends write                        |
      | after a failed write    | WRITE one  | FAILED and state E   | local caller one sends write                        |
      | after a refused begin   | BEGIN      | RETRY and state E    | local caller one sends begin, write, commit         |
      | after a refused read begin | BEGIN READ | LAGGING and state E | local caller one sends begin read, read, commit    |
      | after a failed commit   | COMMIT     | FAILED and state T   | local caller one sends begin, write, commit         |

  # Guards against a second request on a connection before the first answer is
  # read: the error "Already reading" left that answer to the next request.
  Scenario: two concurrent requests leave no unread answer on a connection
    Given a host with 2 connections to p that serves callers of other hosts
    And member p blocks each READ
    When a read is sent to member p, and a rollback on the same connection
    And member p resumes after a short time
    Then a later read on that connection gets its own answer, if it is open

  # Guards against an answer that is left on a connection and taken for the
  # answer to the next request: each later caller got the answer of the caller
  # before it.
  Scenario Outline: an unsolicited answer is not passed to any caller
    Given a host with 1 connection to p that serves callers of other hosts
    And member p sends its next answer to <word> twice
    When local caller one sends <first>
    And local caller two sends <second>
    Then all replies to caller two are successes
    And each success has the signature of its own request
    And the writes kept by member p match what each caller was told

    Examples: orders
      | word     | first                 | second               |
      | READ     | read                  | read                 |
      | WRITE    | write                 | write                |
      | COMMIT   | begin, write, commit  | begin, write, commit |
      | ROLLBACK | begin, read, rollback | write                |

  # Guards against connections that wait for a thread of the resolver: on a busy
  # machine, resolving an IP address took longer than the connect timeout.
  Scenario: a host connects to IP addresses without name resolution
    Given a host with 1 connection to p that serves callers of other hosts
    And name resolution fails
    When the host closes its idle connections
    And local caller one sends write
    And caller two begins at another host and sends write without waiting
    Then all replies to caller one are successes
    And all statements that were sent succeed

  # Guards against a statement that is reported as unknown or failed although
  # the member closed the idle connection before the statement was sent.
  Scenario Outline: a statement is sent on another connection if one was closed
    Given a host with 2 connections to p that serves callers of other hosts
    When local caller one sends <first>
    And member p closes its connections
    And local caller two sends <second>
    Then all replies to caller two are successes
    And the writes kept by member p match what each caller was told
    And all connections to member p are idle again

    Examples: statements
      | first | second               |
      | write | write                |
      | read  | read                 |
      | write | begin, write, commit |

  # Guards against passing on the unsigned success of one of the host's own
  # requests as the success of a caller's statement.
  Scenario Outline: an unsigned success is not passed on, <case>
    Given a host with 1 connection to p that serves callers of other hosts
    And member p answers the next <word> with the lines <lines>
    When local caller one sends <statements>
    And local caller two sends write
    Then each success has the signature of its own request
    And all replies to caller two are successes
    And all connections to member p are idle again

    Examples: answers
      | case          | word   | lines                          | statements           |
      | read          | READ   | DATAROW x/COMPLETE -/READY I 1.1 | read               |
      | write         | WRITE  | COMPLETE -/READY I 1.1         | write                |
      | commit        | COMMIT | COMPLETE -/READY I 1.1         | begin, write, commit |
      | no signature  | READ   | COMPLETE /READY I 1.1          | read                 |
      | in a transaction | READ | COMPLETE -/READY T 1.1        | begin, read, rollback |

  # Guards against a malformed answer that raises an error halfway and so leaves
  # its connection and its transaction open.
  Scenario Outline: a malformed answer closes its connection only
    Given a host with 1 connection to p that serves callers of other hosts
    And member p answers the next <word> with the lines <lines>
    When local caller one sends <statements>
    And local caller two sends write
    Then all replies to caller two are successes
    And all connections to member p are idle again
    And no task of the host failed

    Examples: faults
      | word   | lines                                | statements           |
      | READ   | COMPLETE p.x/READY I 1.5000 digits   | read                 |
      | COMMIT | COMPLETE p.x/READY I 1.5000 digits   | begin, write, commit |
      | READ   | DATAROW x/READY I 1.1                | read                 |
      | READ   | COMPLETE p.x/COMPLETE p.y/READY I 1.1 | read                |
      | BEGIN  | COMPLETE -/READY                     | begin, write, commit |

  # Guards against the first attempt of a read that another member has already
  # answered. The attempt ran later with session values that its caller had set
  # in the meantime, or raised an error because the values had changed.
  Scenario Outline: a late attempt of an answered read keeps its session values
    Given a host with 2 connections each to p and replica a
    And member a blocks each SET
    When local caller one sends set limit 5, set mode x, read, <change>
    And member a resumes after a short time
    Then all replies to caller one are successes
    And each read ran with the session values that its caller had set by then
    And no task of the host failed
    And all connections to member p are idle again

    Examples: changes
      | change     |
      | set mode y |
      | set more 1 |
