Feature: documents live
  One deployment of 8 hosts and one group; each edit is made at one host and
  looked for at all of them.

  # Guards against edits that reach only some hosts, or only through the platform.
  Scenario: documents live are in force on every host within 5 s
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 3
    Then documents live edit is in force on all hosts within 5 s

  # Guards against an accepted edit that spreads only by polls of the platform.
  Scenario: documents live spread while the platform is down
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 5
    And documents live platform goes down
    Then documents live edit is in force on all hosts within 5 s
    And documents live edit is refused as "platform_unavailable"

  # Guards against a restarted host that serves no or an old document.
  Scenario: documents live reach a host restarted during an outage
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 1
    And documents live platform goes down
    And documents live host 6 is killed and started again
    Then documents live edit is in force on all hosts within 5 s

  # Guards against two editors who both win, and hosts that revert.
  Scenario: documents live let one of two editors win
    Given documents live deployment of 8 hosts
    When documents live edits race at hosts 0 and 7
    Then documents live one edit is completed and one is "document_conflict"
    And documents live edit is in force on all hosts within 5 s
    And documents live revisions never went down

  # Guards against an edit that took effect but is reported as failed, or that
  # is written twice.
  Scenario: documents live settle a lost answer of the platform
    Given documents live deployment of 8 hosts
    When documents live platform loses its next answer
    And documents live edit is accepted at host 2
    Then documents live edit is in force on all hosts within 5 s
