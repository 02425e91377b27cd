Feature: A statement from a caller to a target and back
  Runs separate processes: platform, three members and three hosts in three
  data centres.

  Background:
    Given a live deployment of 3 hosts

  Scenario Outline: a session reads its own write through another host
    A replica that lags behind the session's write must not answer its read.
    When a live session writes through host <writer> and reads through host <reader> <how>
    Then the live read returns the written row

    Examples:
      | writer | reader | how              |
      | 0      | 1      | with its token   |
      | 0      | 2      | with its session |
      | 1      | 0      | with its session |
      | 2      | 1      | with its token   |
      | 2      | 0      | with its session |

  Scenario: a repeated request id runs once
    A retry of a write whose answer was lost must not write a second time.
    When the same live write is sent 5 times through all hosts
    Then every live answer is completed and 4 of them are replayed
    And the live row was written once

  Scenario: settling the outcome of a request that never arrived
    An outcome that says "did not run" must hold against a late arrival.
    When the outcome of a live write is settled before it arrives
    Then the live settlement is refused as request_cancelled
    And the late live write is refused as request_cancelled

  Scenario Outline: the kill of a host leaves no caller without an outcome
    When host <victim> is killed while live writes run through host <entry>
    Then every live write ended in one of the three outcomes
    And each completed live write is in the log exactly once
    And each refused live write is not in the log

    Examples:
      | victim | entry |
      | 0      | 1     |
      | 1      | 1     |

  Scenario: a refusal of a later try does not deny an earlier one
    The first try may have run at another host although this one is refused.
    When a live write that fails is sent as a later try of its request id
    Then the later live try is unknown
    And settling the later live try gives request_cancelled
