Feature: Log lines on acknowledged commits and changes of a primary
  Guards against a commit that was acknowledged and is missing after a promotion,
  without lines that tell who had it, who was paused, and when the call took effect.

  Scenario: a change of primary logs the commits that were acknowledged before
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And member p started at 100 and member a at 200
    And the commits of p reach replica a, which is up to date, and replica b, which is leaving
    And log lines are recorded
    When the caller sends write
    And this host finds that b leads
    Then the line acknowledged_before_change has member b and count 1
    And its commits went p@100>a@200 at 1.20

  # Guards against a line of unbounded length, and against commits in two lines.
  Scenario: only the newest commits are logged, and once
    Given a group whose primary is p
    And log lines are recorded
    When this host acknowledges 100 commits of p without a replica
    And this host finds that a leads
    And this host finds that b leads
    Then there is 1 line acknowledged_before_change
    And the line acknowledged_before_change has member a and count 64
    And its commits went p@0>none at 1.37 to 1.100

  Scenario Outline: a member that starts again under its id is logged
    Given a group whose primary is p
    And the registration of a has start <before>
    And log lines are recorded
    When the registration of a has start <after>
    Then there are <count> lines member_started_again

    Examples:
      | before  | after   | count |
      | 100     | 100     | 0     |
      | 100     | 200     | 1     |
      | unknown | 200     | 0     |
      | 100     | unknown | 0     |
