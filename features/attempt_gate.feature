Feature: Attempts at a leader that does not answer
  A request that waits during a failover of ten seconds must not use up the
  retry budget of its host, and many requests must not try the same dead holder.

  Scenario: attempts during a long failover stay within the retry budget
    Given an attempt gate after a failed attempt at term 3
    When the attempt gate is asked every 10 ms for 10 s about term 3
    Then the attempt gate lets 3 to 10 attempts pass

  Scenario: attempts at a newer term pass at once
    Given an attempt gate after a failed attempt at term 3
    When the attempt gate is asked every 10 ms for 1 s about term 4
    Then the attempt gate lets 100 to 101 attempts pass

  Scenario: simultaneous failures count once
    Given an attempt gate after a failed attempt at term 3
    When 50 more attempts at term 3 fail at the attempt gate
    And the attempt gate is asked every 10 ms for 1 s about term 3
    Then the attempt gate lets 1 to 3 attempts pass

  Scenario: an answer opens the gate
    Given an attempt gate after a failed attempt at term 3
    When an attempt succeeds at the attempt gate
    And the attempt gate is asked every 10 ms for 1 s about term 3
    Then the attempt gate lets 100 to 101 attempts pass
