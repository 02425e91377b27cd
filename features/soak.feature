Feature: Hosts under overlapping faults give each caller its own answers
  Hosts, groups and the store run as processes. Callers check each answer, and
  the members check what reaches them.

  # Guards against answers of another request, lost or doubled writes and stale
  # reads when hosts pass work on to each other while they restart or freeze.
  Scenario: a seeded live test finds no broken rule
    When a live test of 45 s runs with 4 hosts, 2 groups and 30 callers
    Then it finds no broken rule
    And its callers wrote and hosts were disturbed

  # Guards against a live test that passes because its callers check nothing.
  Scenario Outline: a wrong answer is found
    Given a host whose answers are <manner>
    When a caller reads, writes and reads again
    Then the broken rules found are <rules>

    Examples:
      | manner                  | rules |
      | right                   | -     |
      | signed for another id   | MIXED |
      | without their last row  | MIXED |
      | those of another item   | MIXED |
      | sent twice              | MIXED |
      | older than the write    | STALE |

  # Guards against writes that are lost, doubled or kept in spite of a promise
  # without being noticed at the end of a live test.
  Scenario Outline: a write that is kept wrongly is found
    Given a write that was <told> and is kept <count> times
    Then the broken rules found are <rules>

    Examples:
      | told         | count | rules   |
      | acknowledged | 1     | -       |
      | acknowledged | 0     | LOST    |
      | acknowledged | 2     | TWICE   |
      | refused      | 0     | -       |
      | refused      | 1     | REFUSED |

  # Guards against errors of a host that no caller notices.
  Scenario: an error in the log of a host is found
    Given a log with a line of each level and a line of the interpreter
    Then the errors found are the line of level ERROR and that of the interpreter

  # Guards against a schedule that cannot be repeated from its seed.
  Scenario: a seed gives the same faults again
    Then seed 5 gives the same faults twice and seed 6 gives others
