Feature: Arithmetic of the measuring command
  An error in the arithmetic of the command would publish wrong values for
  the product.

  Scenario Outline: arrivals follow the duration and the rate of each phase
    Guards against a rise in load that begins late or has a wrong rate.
    When the measuring command plans phases "<phases>" with seed <seed>
    Then planned arrivals ascend and end before <end_s> s
    And the planned arrivals from <from_s> s to <to_s> s are within 4 standard deviations of <expected>

    Examples:
      | phases         | seed | end_s | from_s | to_s | expected |
      | 3:14 10:140    | 1    | 13    | 0      | 3    | 42       |
      | 3:14 10:140    | 2    | 13    | 3      | 13   | 1400     |
      | 2:0 5:100      | 3    | 7     | 0      | 2    | 0        |
      | 2:0 5:100      | 4    | 7     | 2      | 7    | 500      |

  Scenario: steady arrivals are evenly spaced
    Guards against pauses between writes that would be measured as a gap in
    the acknowledgements.
    When the measuring command plans 2 s of 4 steady arrivals a second
    Then the planned arrivals are "0 0.25 0.5 0.75 1 1.25 1.5 1.75"

  Scenario: slow work does not delay later arrivals
    Guards against a closed loop: it sends less to a slow system, and so hides
    the waits.
    When the measuring command starts 5 arrivals that end only after the last
    Then the measured work was scheduled 5 times before any of it ended

  Scenario Outline: the gap is the longest time without an acknowledgement
    Guards against a gap that leaves out writes that are never acknowledged.
    When acknowledged writes at "<moments>" are measured from <begin_s> to <end_s>
    Then the measured gap is <gap_s> s

    Examples:
      | moments       | begin_s | end_s | gap_s |
      | 1 2 3 7 8     | 1       | 8     | 4     |
      | 8 3 1 7 2     | 1       | 8     | 4     |
      |               | 1       | 8     | 7     |
      | 1 2           | 1       | 9     | 7     |
      | 6             | 1       | 8     | 5     |
      | 0.5 9 20      | 1       | 8     | 7     |

  Scenario Outline: the busy ratio covers the slots of all members
    Guards against a ratio that leaves out idle slots.
    When the measured busy time of members rises from "<before>" to "<after>" ms with <slots> slots in <duration_s> s
    Then the measured busy ratio is <ratio>

    Examples:
      | before | after     | slots | duration_s | ratio |
      | 0 0    | 2000 2000 | 2     | 1          | 1     |
      | 500 0  | 2500 0    | 2     | 1          | 0.5   |
      | 10 20  | 10 20     | 2     | 10         | 0     |

  Scenario Outline: a read is stale if it misses a write that it has to see
    Guards against a count of stale reads that stays zero.
    When writes "<writes>" are acknowledged and a read measured at <asked_s> s with bound <age_s> s sees <seen> in a session that wrote <own>
    Then the measured read is <verdict>

    Examples:
      | writes      | asked_s | age_s | seen | own | verdict |
      | 1:1 2:2 3:3 | 3.5     | 1     | 2    | 0   | allowed |
      | 1:1 2:2 3:3 | 3.5     | 1     | 1    | 0   | stale   |
      | 1:1 2:2 3:3 | 3.5     | 1     | 2    | 3   | stale   |
      | 1:1 2:2 3:3 | 3.5     | 1     | 3    | 3   | allowed |
      | 1:1         | 1.5     | 1     | 0    | 0   | allowed |
      | 1:1         | 9       | 1     | 0    | 0   | stale   |

  Scenario: percentiles count every recorded latency
    Guards against percentiles that leave out the slowest requests.
    When latencies from 1 to 100 ms are measured once each
    Then the measured percentiles are close to "50:50 99:99 100:100"

  Scenario: processor time is read after a command name with spaces
    Guards against reading a wrong field when the command name contains spaces
    or parentheses.
    When the measured process line is "7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 250 150 0 0 20"
    Then the measured processor time at 100 ticks a second is 4 s

  Scenario: rows hold the median and the range of their samples
    Guards against values of one policy or deployment in the row of another.
    Given measured samples
      | deployment | policy   | measure           | value |
      | forge      | chosen   | write_gap_s       | 1.5   |
      | forge      | chosen   | write_gap_s       | 0.5   |
      | forge      | chosen   | write_gap_s       | 0.7   |
      | forge      | baseline | write_gap_s       | 3     |
      | gemlab     | chosen   | write_gap_s       | 9     |
      | forge      | chosen   | stale_reads_count | 0     |
      | forge      | chosen   | gap_kill_s        | 0.7   |
    Then the measured rows are
      | deployment | policy   | measure           | unit  | median | low | high | repeats |
      | forge      | chosen   | stale_reads_count | count | 0      | 0   | 0    | 1       |
      | forge      | baseline | write_gap_s       | s     | 3      | 3   | 3    | 1       |
      | forge      | chosen   | write_gap_s       | s     | 0.7    | 0.5 | 1.5  | 3       |
      | gemlab     | chosen   | write_gap_s       | s     | 9      | 9   | 9    | 1       |
    And the measured rows are the same after they are written and read

  Scenario: policies alternate within one run
    Guards against an order in which a machine that slows down over time
    favours one policy.
    When the measuring command plans "crest faults" of forge with seeds "1 2"
    Then the planned trials are
      | policy   | seed | measures | proxied |
      | chosen   | 1    | crest    | no      |
      | baseline | 1    | crest    | no      |
      | chosen   | 1    | faults   | yes     |
      | baseline | 1    | faults   | yes     |
      | baseline | 2    | crest    | no      |
      | chosen   | 2    | crest    | no      |
      | baseline | 2    | faults   | yes     |
      | chosen   | 2    | faults   | yes     |

  Scenario: the published measurements are complete
    Guards against a measure or a policy without rows, and against rows that
    lack a field.
    When the published measurements are read
    Then each published deployment and policy has all measures
    And each published row has its unit, a commit and an ordered range
