Feature: Shares of the memory, and the bound on connections
  Guards against a budget that is exceeded, that loses bytes when a waiter gives
  up, or that lets a message wait although nothing is held; and against idle
  sessions that are closed for connections that send nothing.

  Scenario: concurrent messages keep the budget
    Then in any order of messages, ends and cancellations, the budget is kept

  Scenario: an account gives back all that it took
    Then an account of any messages holds nothing after its release

  Scenario: at the bound, the oldest connection without a session is closed
    Given a bound of 2 connections
    When the connections a, b come
    And the session of a starts
    And the connections c come
    Then b are closed and none are refused

  Scenario: sessions are kept, and a new connection is refused
    Given a bound of 2 connections
    When the connections a, b come
    And the session of a starts
    And the session of b starts
    And the connections c come
    Then none are closed and c are refused

  Scenario: a connection that ends is counted once
    Given a bound of 2 connections
    When the connections a, b come
    And the session of b starts
    And a leaves twice
    And the connections c, d come
    Then c are closed and none are refused
