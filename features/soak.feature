Feature: Hosts under overlapping faults give each caller its own answers
  Hosts, groups and the store run as processes. Callers check each answer, and
  members check each statement that they receive.

  # Guards against answers to another request, lost or duplicated writes and
  # stale reads while hosts pass work on to each other and restart or freeze.
  Scenario: a seeded live test finds no broken rule
    When a live test of 45 s runs with 4 hosts, 2 groups and 30 callers
    Then it finds no broken rule
    And its callers wrote and faults affected hosts

  # Guards against a live test that passes because callers miss wrong answers.
  Scenario Outline: a wrong answer is detected
    Given a host whose answers are <manner>
    When a caller reads, writes and reads again
    Then the violated rules are <rules>

    Examples:
      | manner                  | rules |
      | right                   | -     |
      | signed for another id   | MIXED |
      | without their last row  | MIXED |
      | those of another item   | MIXED |
      | sent twice              | MIXED |
      | older than the write    | STALE |

  # Guards against writes that are lost, duplicated or committed after a refusal
  # without a report at the end of a live test.
  Scenario Outline: a lost, duplicated or refused write in the log is detected
    Given a write that was <reported> and is committed <count> times
    Then the violated rules are <rules>

    Examples:
      | reported     | count | rules   |
      | acknowledged | 1     | -       |
      | acknowledged | 0     | LOST    |
      | acknowledged | 2     | TWICE   |
      | refused      | 0     | -       |
      | refused      | 1     | REFUSED |

  # Guards against hosts that change a primary in turn without a report: the live
  # test compared the holders of equal tokens only.
  Scenario Outline: hosts that promote in turn are detected
    Given promotions by <hosts> that are <gap_ms> ms apart, with a store that is <state>
    Then the promotion stand-in reports <count> violations

    Examples:
      | hosts   | gap_ms | state     | count |
      | a, b, a | 10     | stable    | 1     |
      | a, a, b | 10     | stable    | 0     |
      | a, b    | 10     | stable    | 0     |
      | a, b, a | 1600   | stable    | 0     |
      | a, b, a | 10     | disturbed | 0     |

  # Guards against host errors that do not show in any answer to a caller.
  Scenario: an error in the log of a host is detected
    Given a log with a line of each level and a line of the interpreter
    Then the errors found are the line of level ERROR and the interpreter's line

  # Guards against a fault schedule that its seed does not reproduce.
  Scenario: a seed determines the fault schedule
    Then seed 5 gives the same faults twice and seed 6 gives different faults
