Feature: Log lines
  Log collectors read one flat JSON object per line. They drop nested or
  malformed lines, and they store secrets in a line permanently.

  Scenario: log lines are flat JSON and contain no secrets
    When a log line is written with nested fields, a reserved name and secrets
    Then the log line is flat, complete and contains no secret

  Scenario: log lines contain exceptions without the values of variables
    When a log line is written for an exception near a secret
    Then the log line names the exception and contains no secret

  Scenario: log lines below the configured level are dropped
    When log lines are written at level WARNING and INFO with level "WARNING"
    Then only the log line at level WARNING is written
