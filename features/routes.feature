Feature: Finding the holder of a group
  An entry host waits for a holder without holding up its other work.

  Scenario: routes wait without blocking while the holder is unknown
    A restarted host learns the view of a group from its members before it knows the
    holder; each request that waited then blocked the whole host until its deadline.
    Given a routes view of a group whose holder is not known
    When a routes search for the holder runs beside other work
    Then the routes search finds no holder
    And the other work beside the routes search went on

  Scenario: routes roll a transaction back once its silent holder answers again
    The caller was told that the transaction is rolled back. Left alone, the holder
    kept its locks for the idle limit of 30 s, and writes of the group waited.
    Given a routes transaction whose holder is silent for 3 calls
    When routes run statements in the transaction
    Then the routes answer is refused as transaction_aborted
    And the routes holder got rollback calls until it answered

  Scenario: routes commit nothing of a transaction reported as rolled back
    A commit that reached the holder before the rollback kept the statements
    before the one that was lost, after the caller was told that none is kept.
    Given a routes transaction whose holder is silent for 2 calls
    When routes run statements in the transaction and commit it
    Then the routes answer is refused as transaction_aborted
    And the routes commit is refused as request_cancelled
    And the routes holder got no commit
