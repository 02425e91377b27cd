Feature: Attempts at a leader that does not answer
  A request that waits through a failover of ten seconds must not spend the
  retry budget of its host, nor may many requests try the same dead holder.

  Scenario: the attempts of a long failover stay within the retry budget
    Given an attempt gate after a failed attempt at term 3
    When the attempt gate is asked every 10 ms for 10 s about term 3
    Then the attempt gate let 3 to 10 attempts pass

  Scenario: a newer term passes at once
    Given an attempt gate after a failed attempt at term 3
    When the attempt gate is asked every 10 ms for 1 s about term 4
    Then the attempt gate let 100 to 101 attempts pass

  Scenario: failures of one moment count once
    Given an attempt gate after a failed attempt at term 3
    When 50 more attempts at term 3 fail at the attempt gate
    And the attempt gate is asked every 10 ms for 1 s about term 3
    Then the attempt gate let 1 to 3 attempts pass

  Scenario: an answer opens the gate
    Given an attempt gate after a failed attempt at term 3
    When an attempt succeeds at the attempt gate
    And the attempt gate is asked every 10 ms for 1 s about term 3
    Then the attempt gate let 100 to 101 attempts pass
