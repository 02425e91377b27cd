Feature: Finding the holder of a group
  An entry host waits for a term holder without blocking its other work.

  Scenario: a search does not block the host while the holder is unknown
    A restarted host learns the view of a group from its members before it knows
    the holder. Each waiting request then blocked the whole host until its
    deadline.
    Given a view of a group whose holder is unknown to the entry host
    When the entry host searches for the holder beside other work
    Then the search for the holder finds none
    And the other work ran during the search for the holder

  Scenario: a transaction is rolled back once its silent holder answers again
    The caller was told that the transaction is rolled back. Without a rollback
    the holder kept its locks until the idle timeout of 30 s, and writes of the
    group waited for them.
    Given a routed transaction whose holder is silent for 3 calls
    When statements are routed to the transaction
    Then the routed statements are refused as transaction_aborted
    And the routed holder got rollback calls until it answered

  Scenario: a transaction that was reported as rolled back is not committed
    A commit that reached the holder before the rollback committed the earlier
    statements without the lost one, although the caller was told that the
    transaction is rolled back.
    Given a routed transaction whose holder is silent for 2 calls
    When statements are routed to the transaction and then a commit
    Then the routed statements are refused as transaction_aborted
    And the routed commit is refused as request_cancelled
    And the routed holder got no commit
