Feature: Checks of the invariants under faults
  The history checker must detect each kind of violation, and a run that is
  inconclusive must not pass.

  Scenario Outline: the history checker detects a violation
    If the checker overlooked a violation of this kind, a run with the violation
    would pass.
    Given a run history with the violation "<fault>"
    When the run history is checked
    Then the history checker reports "<rules>"

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

  Scenario: every rule of the history checker has a sample violation
    A new rule without a sample violation could fail to detect anything.
    Then the sample violations cover all rules except "LATE_DOCUMENT TWO_WINNERS DIVERGED NOT_RECOVERED"

  Scenario: a loss that the durability allows is counted
    The loss of a write of durability primary is no violation, but must show in
    the report.
    Given a run history with the violation "a write of durability primary is lost"
    When the run history is checked
    Then the history checker counts 1 lost writes

  Scenario Outline: an inconclusive run does not pass
    A run with too few writes, without effective faults or with processes that
    ended unexpectedly finds no violation, and would look like a success.
    Given a run result with <count> writes and <taken> faults
    Then the verdict on the run is "<verdict>"

    Examples:
      | count | taken  | verdict        |
      | 5     | real   | passed         |
      | 1     | real   | nothing proved |
      | 5     | failed | nothing proved |
      | 5     | no     | nothing proved |
      | 5     | fatal  | nothing proved |

  @slow
  Scenario Outline: the invariants hold on real processes under faults
    Guards against violations while hosts, members, links or the platform fail.
    When a proof run with seed <seed> injects the faults "<faults>"
    Then the proof run reports no violation

    Examples:
      | seed | faults                                      |
      | 1    | cut_primary kill_holder promote_race        |
      | 2    | cut_answers pause_primary lag platform_down |
