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

  Scenario Outline: a pause names the members that did not answer, and why
    Given a group whose primary is p
    And <cause>
    And log lines are recorded
    When a host replaces the lost primary
    Then the line replicas_paused has token 7
    And it says for p: <text>
    And it says for a: 1.10

    Examples:
      | cause                                | text                           |
      | the members p are silent             | refused                        |
      | member p accepts no more connections | no connection .* \(reachable\) |
      | p is known to be unreachable         | unreachable before, .*         |

  Scenario: the lines of a change have its token, in the order of its steps
    Given a group whose primary is p
    And the members p are silent
    And log lines are recorded
    When a host replaces the lost primary
    Then the lines with token 7 are replicas_paused, promotion_called, promotion, promotion_effect, replicas_resumed
    And the line promotion_effect has member b and leads True
    And the line replicas_resumed has token 7
    And it says for a: 1.10

  # Guards against a call that takes effect late and is in no log, as its host did
  # not live to see the answer.
  Scenario: a promotion without an answer is logged when it is called
    Given a group whose primary is p
    And the members p are silent
    And the platform does not answer promotions
    And log lines are recorded
    When a host replaces the lost primary
    Then there are 4 lines promotion_called
    And there is no line promotion_effect

  Scenario: an aborted change names the primary that fences off older calls
    Given a group whose primary is p
    And member p does not answer control request 1
    And log lines are recorded
    When a host replaces the lost primary
    Then the line change_aborted has primary p and fence leads
    And the line replicas_resumed has token 7

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
