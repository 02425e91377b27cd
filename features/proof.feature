Feature: Proof of the invariants
  The checker of histories must find each kind of broken promise, and a run that
  proves nothing must not pass.

  Scenario Outline: the checker finds a planted fault
    A checker that overlooks a fault of this kind would report a proof that is none.
    Given a proof history with the fault "<fault>"
    When the proof history is checked
    Then the proof check finds "<rules>"

    Examples:
      | fault                                 | rules               |
      | none                                  | nothing             |
      | a write of durability primary is lost | nothing             |
      | an open write ran                     | nothing             |
      | a replicated write is lost            | LOST_WRITE          |
      | a write is lost without a change      | LOST_WITHOUT_CHANGE |
      | a write ran twice                     | TWICE               |
      | an unknown write ran twice            | TWICE               |
      | a refused write ran                   | RAN_AFTER_REFUSAL   |
      | a rolled back transaction ran         | RAN_AFTER_ROLLBACK  |
      | a replaced primary acknowledges       | REPLACED_PRIMARY    |
      | a token names another entry           | WRONG_TOKEN         |
      | a session read misses its write       | OWN_WRITE           |
      | a token read misses its write         | OWN_WRITE           |
      | a survived write is reported lost     | FALSE_LOSS          |
      | a read is too old                     | STALE               |
      | a read states a wrong age             | WRONG_AGE           |
      | two transactions are mixed            | TORN                |
      | a transaction is incomplete           | TORN                |
      | a read shows half a transaction       | TORN                |
      | a read shows a refused write          | DIRTY_READ          |
      | a read gets another answer            | WRONG_ANSWER        |
      | a read has no answer                  | WRONG_ANSWER        |
      | a cancelled write ran                 | WRONG_SETTLEMENT    |
      | a settled write is missing            | WRONG_SETTLEMENT    |
      | a leaving target serves reads         | LEAVING_TARGET      |
      | a stopping host breaks a request      | SHUTDOWN            |
      | a host reverts its document           | REVERTED_DOCUMENT   |

  Scenario: every rule of the checker is planted
    A new rule without a planted fault might never fire.
    Then the proof rules are all planted but "LATE_DOCUMENT TWO_WINNERS DIVERGED NOT_RECOVERED"

  Scenario: a loss that the durability allows is counted
    Losses must stay visible although they break no promise.
    Given a proof history with the fault "a write of durability primary is lost"
    When the proof history is checked
    Then the proof check counts 1 lost writes

  Scenario Outline: a run that proves nothing does not pass
    Too few writes, or faults that were not in force, would look like a success.
    Given a proof result of <count> writes with <taken> faults
    Then the proof result is "<verdict>"

    Examples:
      | count | taken  | verdict        |
      | 5     | real   | passed         |
      | 1     | real   | nothing proved |
      | 5     | failed | nothing proved |
      | 5     | no     | nothing proved |
      | 5     | fatal  | nothing proved |

  @slow
  Scenario Outline: real processes keep the invariants
    Guards against any broken promise while hosts, members and links fail.
    When a proof run with seed <seed> meets the faults "<faults>"
    Then the proof run finds no violation

    Examples:
      | seed | faults                                      |
      | 1    | cut_primary kill_holder promote_race        |
      | 2    | cut_answers pause_primary lag platform_down |
