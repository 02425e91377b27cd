Feature: documents live
  The deployment has 8 hosts and one group. Each edit is sent to one host and
  must take effect on all hosts.

  # Guards against an edit that does not reach all hosts, or reaches them only
  # through the platform.
  Scenario: documents live are in force on every host within 5 s
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 3
    Then documents live edit is in force on all hosts within 5 s

  # Guards against an accepted edit that reaches hosts only by their polls of
  # the platform.
  Scenario: documents live reach all hosts while the platform is down
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 5
    And documents live platform goes down
    Then documents live edit is in force on all hosts within 5 s
    And documents live edit is refused as "platform_unavailable"

  # Guards against a restarted host that has no document or an old one.
  Scenario: documents live reach a host restarted during an outage
    Given documents live deployment of 8 hosts
    When documents live edit is accepted at host 1
    And documents live platform goes down
    And documents live host 6 is killed and started again
    Then documents live edit is in force on all hosts within 5 s

  # Guards against two concurrent edits that are both accepted, and against
  # hosts that return to an older revision.
  Scenario: documents live accept one of two concurrent edits
    Given documents live deployment of 8 hosts
    When documents live edits are sent concurrently to hosts 0 and 7
    Then documents live one edit is completed and one is "document_conflict"
    And documents live edit is in force on all hosts within 5 s
    And documents live revisions never decreased

  # Guards against an edit that takes effect but is reported as failed, or that
  # is written twice, after the platform's answer to the write was lost.
  Scenario: documents live edit survives a lost answer of the platform
    Given documents live deployment of 8 hosts
    When documents live platform loses its next answer
    And documents live edit is accepted at host 2
    Then documents live edit is in force on all hosts within 5 s
