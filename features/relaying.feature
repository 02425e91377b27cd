Feature: Relaying of work through another host
  A host that cannot reach a primary, or gets no connection to it, relays work
  through a host that can. Callers get the same guarantees as without a relay.

  Scenario Outline: a host that does not reach the primary relays statements
    # Without a relay, a primary that was cut off from some hosts was replaced,
    # although other hosts reached it (primary_cut on trouble-1).
    Given a host that does not reach primary p, and another that does
    When the caller sends <statements>
    Then the last reply is <reply>
    And the primary ran <runs>

    Examples:
      | statements                   | reply   | runs             |
      | write                        | success | write x          |
      | read                         | success | nothing          |
      | begin, write, read, commit   | success | write x, read x, COMMIT |
      | begin, write, rollback       | success | write x          |
      | begin, read, commit          | success | read x, COMMIT   |
      | set, write                   | success | DISCARD or SET, write x |

  Scenario Outline: the answers of the other host are lost
    # A reply that a write was rolled back could be false, because the write may
    # have run before its answer was lost.
    Given a host that does not reach primary p, and another that does
    When the caller sends <before>
    And the other host stops answering
    And the caller sends <statements>
    Then the last reply is <reply>

    Examples:
      | before       | statements    | reply       |
      | begin, write | commit        | unknown     |
      | begin, read  | commit        | rolled_back |
      | begin, write | write         | rolled_back |
      | write        | write         | unknown     |

  Scenario Outline: no other host reaches the primary either
    Given a host that does not reach primary p, and another that does not
    When the caller sends <statements>
    Then the last reply is not_run

    Examples:
      | statements   |
      | write        |
      | read         |
      | begin, write |

  Scenario: the other host is unreachable
    Given a host that does not reach primary p, and another that does
    And the other host is unreachable
    When the caller sends write
    Then the last reply is not_run
    And the primary ran nothing

  Scenario: a host without connections relays its reads
    # After a power loss, members count the connections of the killed processes
    # for another 3 s. Hosts that got no connection refused all reads (scale-2).
    Given a host that gets no connection to any member, and another that does
    When the caller sends read
    Then the last reply is success

  Scenario: a relayed read sees the session's own write
    Given a host that does not reach primary p, and another that does
    When the caller sends write
    And the primary commits another write of the session
    And the caller sends read
    Then no replica behind 1.30 served the read

  Scenario Outline: an abandoned relayed transaction is rolled back
    Given a host that does not reach primary p, and another that does
    When the caller sends begin, write
    And <event>
    Then the other host has no open transaction
    And the primary rolled the transaction back

    Examples:
      | event                                  |
      | the caller leaves                      |
      | the caller's host is lost for the idle limit |

  Scenario: a transaction that the other host does not know is rolled back
    Given a host that does not reach primary p, and another that does
    When the caller sends begin, write
    And the other host forgets its transactions
    And the caller sends write
    Then the last reply is rolled_back

  Scenario: a stopping host accepts no relayed work
    Given a host that does not reach primary p, and another that does
    And the other host is stopping
    When the caller sends write
    Then the last reply is not_run

  Scenario Outline: a primary that another host reaches is not replaced
    Given a host that does not reach primary p, and another that <reaches>
    When the primary monitor of the first host runs for 900 ms
    Then the promotions are <promotions>

    Examples:
      | reaches  | promotions |
      | does     | none       |
      | does not | one        |

  Scenario: peers are asked in as many data centres as possible
    Given the peers a1, a2, a3, b1, b2, c1 of the data centres a, b and c
    When 3 peers are chosen
    Then they are of 3 data centres
    When peer c1 gives no answer
    And 6 peers are chosen
    Then peer c1 is not among them

  Scenario: relayed work arrives unchanged and its reads are not staler
    Then any work is unchanged after it is encoded and decoded

  # Guards against requests that wait for each other, and against a connection
  # for each request.
  Scenario: requests to another host share a connection
    Given another host that answers its first request last
    When 20 requests are sent to it at the same time
    Then each request gets its own answer over 1 connection

  # Guards against work that is sent over a connection which fell silent, until
  # its deadline has passed.
  Scenario: a connection that fell silent is replaced
    Given another host that is silent on its first connection
    When a request gets no answer, and others follow
    Then the others are answered over a second connection

  # Guards against a whole listener that ends after bytes that are no request.
  Scenario: bytes that are no request end only their connection
    Given a host that listens for requests of other hosts
    When another host sends bytes that are no request
    And another host sends {} to /v1/writes
    Then the other host gets status 400

  Scenario Outline: malformed requests between hosts
    Given a host that listens for requests of other hosts
    When another host sends <body> to <path>
    Then the other host gets status <status>

    Examples:
      | path           | body                                        | status |
      | /v1/writes     | {}                                          | 400    |
      | /v1/writes     | no JSON                                     | 400    |
      | /v1/writes     | {"work": {"request_id": "1"}}               | 400    |
      | /v1/primary    | {"group": "nobody", "max_age_ms": 0}        | 200    |
      | /v1/primary    | []                                          | 400    |
      | /v1/elsewhere  | {}                                          | 404    |
