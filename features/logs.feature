Feature: Log lines
  Log collectors read one flat JSON object per line. A nested or malformed line
  is lost, and a secret in a line is stored for good.

  Scenario: log lines are flat JSON and hide secrets
    When a log line is written with nested fields, a fixed name and secrets
    Then the log line is flat, complete and shows no secret

  Scenario: log lines carry exceptions without the values of variables
    When a log line is written for an exception near a secret
    Then the log line names the exception and shows no secret

  Scenario: log lines below the level of the settings are dropped
    When log lines are written at level WARNING and INFO with level "WARNING"
    Then only the log line at level WARNING is there
