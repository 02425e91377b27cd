Feature: Each answer belongs to its request, and each connection to one caller
  A connection to a member is lent to one caller at a time and comes back idle.
  A caller that got the answer of another, or an answer of a transaction that
  is not its own, has lost what the host exists for.

  # Guards against a rollback that is sent while a statement of the same
  # transaction runs: two requests at once on one connection, after which the
  # connection is lost to the pool or lent with an answer unread.
  Scenario: a relayed transaction is rolled back while its statement runs
    Given a host that reaches p with 2 connections, for callers of others
    And member p keeps each WRITE waiting
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And the transaction of caller one is abandoned
    And member p goes on after a moment
    Then member p never had two requests at once on a connection
    And all connections to member p are idle again
    And each success is signed for its own request
    And what member p keeps is what each caller was told

  # Guards against the incident MIXED: the rollback read the answer of the
  # statement, the statement then read beside the next caller, and later callers
  # got the answers of their predecessors.
  Scenario: an answer that comes as its transaction is rolled back shifts no others
    Given a host that reaches p with 1 connection, for callers of others
    And the rollback of caller one comes with the answer to its READ
    When caller one begins at another host and sends read without waiting
    And local callers two, three and four send read as soon as that is answered
    Then each success is signed for its own request
    And all replies to caller four are successes
    And all connections to member p are idle again

  # Guards against a statement that is repeated after a busy answer although its
  # transaction has ended: it ran on a connection that was idle by then.
  Scenario: a relayed transaction is rolled back while its statement is repeated
    Given a host that reaches p with 2 connections, for callers of others
    And member p refuses each WRITE of caller one as busy until a rollback
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And the transaction of caller one is abandoned
    Then all connections to member p are idle again
    And what member p keeps is what each caller was told

  # Guards against a repeated statement that joins the transaction of the next
  # caller, to whom the connection was lent meanwhile.
  Scenario: a repeated statement does not join the next caller's transaction
    Given a host that reaches p with 1 connection, for callers of others
    And member p refuses each WRITE of caller one as busy until a rollback
    When caller one begins at another host and sends write without waiting
    And the WRITE has reached member p
    And caller two begins at another host and sends write without waiting
    And the transaction of caller one is abandoned
    And caller two has its answer
    And a moment passes
    And caller two commits
    Then no transaction at member p has statements of two callers
    And all connections to member p are idle again
    And what member p keeps is what each caller was told

  # Guards against a transaction that is still being opened when it is rolled
  # back: it opened later, and nobody ended it.
  Scenario Outline: a relayed transaction is rolled back while it <phase>
    Given a host that reaches p with 1 connection, for callers of others
    And <obstacle>
    When caller one begins at another host and sends write without waiting
    And <arrival>
    And the transaction of caller one is abandoned
    And <end>
    Then all connections to member p are idle again
    And what member p keeps is what each caller was told

    Examples: phases
      | phase                  | obstacle                           | arrival                       | end                           |
      | waits for a connection | all connections to member p are lent | a moment passes             | the connections are given back after a moment |
      | is begun at the member | member p keeps each BEGIN waiting  | the BEGIN has reached member p | member p goes on after a moment |
      | is refused             | member p works on each WRITE and refuses the next one | the WRITE has reached member p | member p goes on after a moment |

  # Guards against two hosts whose transactions have one key: the second
  # replaced the first, and one caller committed the writes of the other.
  Scenario: a key that is open already joins and replaces no transaction
    Given a host that reaches p with 2 connections, for callers of others
    When callers one and two of two hosts begin with one key and send write
    And caller one commits with that key
    And caller two, if its write succeeded, commits with that key
    Then no transaction at member p has statements of two callers
    And each success is signed for its own request
    And what member p keeps is what each caller was told
    And all connections to member p are idle again

  # Guards against keys that are equal in two host processes, as memory
  # addresses and counters of two processes may be. All but the names of the
  # hosts is equal here.
  Scenario: transactions of two hosts have different keys
    Given a host that reaches p with 2 connections, for callers of others
    When callers one and two of two hosts with equal clocks and random numbers begin
    And relayed caller one sends write
    And relayed caller two sends write
    And caller one commits
    And caller two commits
    Then all statements of the callers succeeded
    And no transaction at member p has statements of two callers
    And what member p keeps is what each caller was told
    And all connections to member p are idle again

  # Guards against a key of a transaction that a host opened before it was
  # restarted, which may still be open at another host.
  Scenario: a restarted host does not repeat its keys
    Then two lives of one host make different keys

  # Guards against connections that are given back in a transaction or failed:
  # the next caller's statement ran in the transaction of a probe, was answered
  # with success and not kept, or it failed for no reason of its own.
  Scenario Outline: a connection is given back in another state than idle, <case>
    Given a host that reaches p with 1 connection, for callers of others
    And member p answers the next <request> with <answer>
    When <use>
    And local caller two sends write
    Then all replies to caller two are successes
    And each success is signed for its own request
    And what member p keeps is what each caller was told
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

  # Guards against a second request on a connection whose answer was not read: the
  # error "Already reading" left it to the next request.
  Scenario: two requests at once leave no answer on a connection
    Given a host that reaches p with 2 connections, for callers of others
    And member p keeps each READ waiting
    When a read is sent to member p, and a rollback on the same connection
    And member p goes on after a moment
    Then a later read on that connection gets its own answer, if it is open

  # Guards against an answer that was left on a connection and is taken for that
  # of the next request: each later caller got the answer of the one before.
  Scenario Outline: an answer that nobody asked for is given to no caller
    Given a host that reaches p with 1 connection, for callers of others
    And member p sends its next answer to <word> twice
    When local caller one sends <first>
    And local caller two sends <second>
    Then all replies to caller two are successes
    And each success is signed for its own request
    And what member p keeps is what each caller was told

    Examples: orders
      | word     | first                 | second               |
      | READ     | read                  | read                 |
      | WRITE    | write                 | write                |
      | COMMIT   | begin, write, commit  | begin, write, commit |
      | ROLLBACK | begin, read, rollback | write                |

  # Guards against connections that wait for a thread of the resolver: on a busy
  # machine an IP address was 'resolved' later than the limit for connecting.
  Scenario: a host connects to addresses without a resolver
    Given a host that reaches p with 1 connection, for callers of others
    And names cannot be resolved
    When the host's connections are closed
    And local caller one sends write
    And caller two begins at another host and sends write without waiting
    Then all replies to caller one are successes
    And all statements that were sent succeed

  # Guards against a statement that is reported as unknown or failed although the
  # member had closed the idle connection before it was sent.
  Scenario Outline: a statement on a connection that was closed goes to another
    Given a host that reaches p with 2 connections, for callers of others
    When local caller one sends <first>
    And member p closes its connections
    And local caller two sends <second>
    Then all replies to caller two are successes
    And what member p keeps is what each caller was told
    And all connections to member p are idle again

    Examples: statements
      | first | second               |
      | write | write                |
      | read  | read                 |
      | write | begin, write, commit |

  # Guards against a success of a request of the host's own, which is unsigned,
  # that is passed on as the success of a caller's statement.
  Scenario Outline: an unsigned success is not passed on, <case>
    Given a host that reaches p with 1 connection, for callers of others
    And member p answers the next <word> with the lines <lines>
    When local caller one sends <statements>
    And local caller two sends write
    Then each success is signed for its own request
    And all replies to caller two are successes
    And all connections to member p are idle again

    Examples: answers
      | case          | word   | lines                          | statements           |
      | read          | READ   | DATAROW x/COMPLETE -/READY I 1.1 | read               |
      | write         | WRITE  | COMPLETE -/READY I 1.1         | write                |
      | commit        | COMMIT | COMPLETE -/READY I 1.1         | begin, write, commit |
      | no signature  | READ   | COMPLETE /READY I 1.1          | read                 |
      | in a transaction | READ | COMPLETE -/READY T 1.1        | begin, read, rollback |

  # Guards against an error in the middle of an answer that leaves the connection
  # open, and its transaction without an end.
  Scenario Outline: an answer that cannot be read ends its connection only
    Given a host that reaches p with 1 connection, for callers of others
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

  # Guards against the first try of a read that another member has answered: it
  # ran later with values that its caller had set meanwhile, or broke on them.
  Scenario Outline: a read whose caller has its answer keeps its values
    Given a host that reaches p and replica a with 2 connections
    And member a keeps each SET waiting
    When local caller one sends set limit 5, set mode x, read, <change>
    And member a goes on after a moment
    Then all replies to caller one are successes
    And each read ran with the values that its caller had then
    And no task of the host failed
    And all connections to member p are idle again

    Examples: changes
      | change     |
      | set mode y |
      | set more 1 |
