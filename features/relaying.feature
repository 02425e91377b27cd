Feature: Work that another host carries out
  A host that does not reach a primary, or gets no connection, passes work on to
  a host that does. Each promise holds as if the first host had done the work.

  Scenario Outline: statements of a caller whose host does not reach the primary
    # A primary that was cut off from some hosts (primary_cut on trouble-1) was
    # replaced, although other hosts reached it.
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

  Scenario Outline: the other host loses its answers
    # A promise that nothing was kept would be false for a write.
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

  Scenario: the other host is gone
    Given a host that does not reach primary p, and another that does
    And the other host is gone
    When the caller sends write
    Then the last reply is not_run
    And the primary ran nothing

  Scenario: a host without connections has its reads carried out
    # After a loss of power, members count the connections of the former
    # processes for 3 s; hosts that got none refused all reads (scale-2).
    Given a host that gets no connection to any member, and another that does
    When the caller sends read
    Then the last reply is success

  Scenario: a read through another host sees the session's own write
    Given a host that does not reach primary p, and another that does
    When the caller sends write
    And the primary commits once more for the session
    And the caller sends read
    Then no replica behind 1.30 served the read

  Scenario Outline: a transaction at another host ends
    Given a host that does not reach primary p, and another that does
    When the caller sends begin, write
    And <event>
    Then the other host keeps no transaction
    And the transaction at the primary is over

    Examples:
      | event                                  |
      | the caller leaves                      |
      | the caller's host is lost for the idle limit |

  Scenario: a transaction that another host does not know was rolled back
    Given a host that does not reach primary p, and another that does
    When the caller sends begin, write
    And the other host forgets its transactions
    And the caller sends write
    Then the last reply is rolled_back

  Scenario: a stopping host takes no further work of others
    Given a host that does not reach primary p, and another that does
    And the other host is stopping
    When the caller sends write
    Then the last reply is not_run

  Scenario Outline: a primary that another host reaches is not replaced
    Given a host that does not reach primary p, and another that <reaches>
    When the watch of that host runs for 900 ms
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

  Scenario: any work arrives as it was sent, and its reads are no older
    Then any work is the same after the way to another host

  Scenario Outline: requests between hosts that cannot be read
    Given a host that listens for others
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
