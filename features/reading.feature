Feature: Reads at a member that this host owns
  A fault here returns data that is older than the contract allows, or hides a
  write from the session that made it.

  Scenario Outline: an answer is returned only with proof of its freshness
    Guards against data that is too old, against answers of a replaced primary,
    against the loss of a write that is not reported, and against a read that
    shows a write which a newer primary drops (seed 91).
    Given a member reader whose member answers as <role> at <log>
    And the reader's beacons were "<beacons>"
    And the reader's term holder <holder>
    When the reader runs a read with floor <floor> and age bound <bound> ms
    Then the reader answers <answer>

    Examples: a beacon is age in s/term/position; a log is term:first@last
      | role    | log          | beacons       | holder     | floor | bound | answer             |
      | replica | 1:1@50       | 2/1/40 1/1/60 | is absent  | none  | 2000  | completed 2000     |
      | replica | 1:1@60       | 2/1/40 1/1/60 | is absent  | none  | 2000  | completed 1000     |
      | replica | 1:1@50       | 2/1/40 1/1/60 | is absent  | none  | 1999  | too_stale          |
      | replica | 1:1@39       | 2/1/40 1/1/60 | is absent  | none  | 9000  | no_target          |
      | replica | 1:1@60       | 2/1/60 1/1/60 | is absent  | none  | 1000  | completed 1000     |
      | replica | 1:1@70       | 2/1/40 1/2/60 | is absent  | none  | 9000  | completed 2000     |
      | replica | 1:1@50       | 2/1/40        | is absent  | 1/45  | 9000  | completed 2000     |
      | replica | 1:1@50       | 2/1/40        | is absent  | 1/51  | 9000  | no_target          |
      | replica | 1:1,2:45@50  | 2/1/40        | is absent  | 1/46  | 9000  | no_target          |
      | replica | 1:1@50       |               | is absent  | none  | 9000  | no_target          |
      | primary | 1:1@50       |               | confirms 1 | none  | 0     | completed 0        |
      | primary | 1:1@50       |               | confirms 2 | none  | 0     | no_target          |
      | primary | 1:1@50       |               | is cut off at 50 | none  | 9000  | no_target          |
      | primary | 1:1@50       | 2/1/40        | is cut off at 50 | none  | 2000  | completed 2000     |
      | primary | 1:1@50       | 2/1/40        | is cut off at 50 | none  | 1000  | too_stale          |
      | primary | 1:1@50       | 2/1/40        | is cut off at 49 | none  | 2000  | no_target          |
      | primary | 1:1,2:45@50  | 2/1/40        | is cut off at 50 | none  | 2000  | no_target          |
      | primary | 1:1@50       | 2/1/40        | is absent  | none  | 2000  | no_target          |
      | replica with a tail | 1:1@50 | 2/1/40  | is absent  | none  | 2000  | no_target          |
      | primary | 1:1,2:45@50  |               | confirms 2 | 1/46  | 0     | session_write_lost |
      | primary | 1:1,2:45@50  |               | confirms 2 | 1/44  | 0     | completed 0        |

  Scenario Outline: a primary whose term was handed over to another host
    Guards against a long read that fails because its host handed the term over
    during the read, and against a read at a primary that was replaced. Under
    load one run in 14 failed, because a pull that was already in flight was
    taken for the confirmation.
    Given a member reader whose member answers as primary at 1:1@50
    And the reader's beacons were "2/1/40"
    And the reader's term holder is absent
    And the new holder confirms term <term> in pull <pull>
    When the reader runs a read with floor none and age bound 2000 ms
    Then the reader answers <answer>

    Examples:
      | term | pull | answer      |
      | 1    | 1    | completed 0 |
      | 1    | 3    | completed 0 |
      | 2    | 1    | no_target   |

  Scenario Outline: a read without an answer is refused and its grant returned
    Guards against wrong outcomes, and against the reuse of a connection on
    which the answer of an earlier call may still arrive.
    Given a member reader whose member answers as replica at 1:1@50
    And the reader's beacons were "1/1/50"
    And the reader's target <behaviour>
    When the reader runs a read with floor none and age bound 9000 ms
    Then the reader answers <answer>
    And the reader's owner holds no grant and keeps <count> connections

    Examples:
      | behaviour           | answer         | count |
      | answers             | completed 1000 | 1     |
      | reports a SQL error | sql_error      | 1     |
      | rejects the call    | no_target      | 1     |
      | stays silent        | no_target      | 0     |
      | hangs until cancel  | cancelled      | 0     |

  Scenario: a read for a member of another owner is refused
    Guards against a second queue for one member.
    Given a member reader whose member answers as replica at 1:1@50
    When the reader is asked for a member it does not own
    Then the reader answers not_owner
