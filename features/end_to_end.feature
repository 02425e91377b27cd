Feature: A statement from a caller to a target and back
  The tests run a platform, three members and three hosts in three data centres
  as separate processes.

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
    The outcome "did not run" must stay true when the request arrives late.
    When the outcome of a live write is settled before it arrives
    Then the live settlement is refused as request_cancelled
    And the late live write is refused as request_cancelled

  Scenario Outline: every caller gets an outcome when a host is killed
    When host <victim> is killed while live writes run through host <entry>
    Then every live write ended in one of the three outcomes
    And each completed live write is in the log exactly once
    And each refused live write is not in the log

    Examples:
      | victim | entry |
      | 0      | 1     |
      | 1      | 1     |

  Scenario: the refusal of a later attempt says nothing about an earlier one
    The first attempt may have run at another host although this one is refused.
    When a live write that fails is sent as a later attempt of its request id
    Then the later live attempt is unknown
    And settling the later live attempt gives request_cancelled
