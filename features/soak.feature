Feature: Hosts under overlapping faults give each caller its own answers
  Hosts, groups and the store run as processes. Callers check each answer, and
  members check each statement that they receive.

  # Guards against answers to another request, lost or duplicated writes and
  # stale reads while hosts pass work on to each other and restart or freeze.
  Scenario: a seeded live test finds no broken rule
    When a live test of 45 s runs with 4 hosts, 2 groups and 30 callers
    Then it finds no broken rule
    And its callers wrote and faults affected hosts

  # Guards against requests that a host has read and that end without an answer
  # while hosts stop, reload and get configurations, and against new work at
  # members that have drained for too long.
  Scenario: a seeded live test of planned work finds no broken rule
    When a live test of planned work runs for 30 s with 6 hosts, 2 groups and 40 callers
    Then it finds no broken rule
    And its callers wrote and faults affected hosts

  # Guards against a live test that counts requests without an answer but judges
  # none: it passed while each stop under load cut some off.
  Scenario Outline: a request without an answer is judged
    Given planned work that is <work>, after <before>
    And a request that is sent <sent_s> s later and ends without an answer after <open_ms> ms
    When a member has <received> it
    Then the violated rules are <rules>

    Examples:
      | work            | before       | sent_s | open_ms | received     | rules      |
      | a SIGTERM       | calm         | 2      | 5       | received     | UNANSWERED |
      | a SIGTERM       | calm         | 2      | 300     | not received | UNANSWERED |
      | a SIGTERM       | calm         | 2      | 5       | not received | -          |
      | a SIGTERM       | calm         | 6.5    | 5       | received     | UNANSWERED |
      | a SIGTERM       | calm         | 8      | 5       | received     | -          |
      | a SIGTERM       | a disruption | 2      | 5       | received     | -          |
      | a SIGTERM       | a disruption | 5      | 5       | received     | UNANSWERED |
      | a SIGHUP        | calm         | 2      | 5       | received     | UNANSWERED |
      | a SIGHUP        | calm         | 4      | 5       | received     | -          |
      | a configuration | calm         | 3      | 5       | received     | UNANSWERED |
      | a configuration | calm         | 5      | 5       | received     | -          |

  # Guards against a balancer that never sends callers to a stopping host, as the
  # platform's does if fewer than half of the hosts of a data centre are ready.
  Scenario Outline: callers are sent to the hosts of their data centre
    Given the hosts 0 to 5 in the data centres a, b and c, of which <lost> are not ready
    Then callers of data centre a are sent to <used>

    Examples:
      | lost       | used       |
      | none       | 0, 3       |
      | 0          | 3          |
      | 0, 3       | 1, 2, 4, 5 |

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

  # Guards against a host that gets the addresses of another host's links, as
  # hosts hand registrations on: cuts then affected the wrong host, and members
  # seemed to move.
  Scenario: all hosts know a member by one address and connect through their own links
    Given the layout of a live test with 6 hosts
    Then the store shows no member at another address
    And a connection of each host to a member opens at a link of this host

  # Guards against a lost commit that is judged by what a member acknowledged. A
  # host that told its caller that the outcome is unknown has broken no rule.
  Scenario Outline: a commit that a promotion lost counts if its caller was told of it
    Given a commit that was reported <reported> to its caller, <when_ms> ms after a promotion lost it
    Then the violated rules are <rules>

    Examples:
      | reported     | when_ms | rules |
      | acknowledged | -100    | LOST  |
      | acknowledged | 100     | LOST  |
      | unknown      | -100    | -     |

  # Guards against late calls whose fence is checked when they arrive: a call
  # that a newer one overtook would be refused by the platform.
  Scenario Outline: a promotion call that is late is judged when it is carried out
    Given a promotion call with token 5 that is carried out late
    And a call with token <token> meanwhile
    Then the group is asked to promote <promoted>

    Examples:
      | token | promoted    |
      | 6     | newer       |
      | 5     | newer, late |

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

  # Guards against a series that is never drawn, or that cannot be drawn alone.
  Scenario Outline: a live test draws the series of faults that it names
    Then a schedule of "<series>" has the faults <faults>

    Examples:
      | series                     | faults              |
      | replace_members            | replace             |
      | lose_replica_logs          | lose_log            |
      | join_before_late_promotion | applies_late, replace |
      | start_beside_join          | deaf, replace       |
      | start_beside_late_promotion | applies_late, replace |
      | crowd                      | occupied, slow      |
      | resume_late                | late_resume, crash  |
      | primary_changes            | replace, lose_log, applies_late, occupied |
