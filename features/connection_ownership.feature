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
