Feature: Log lines on acknowledged commits and changes of a primary
  Guards against a commit that was acknowledged and is missing after a promotion,
  without lines that tell who had it, who was paused, and when the call took effect.

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
