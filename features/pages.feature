Feature: Pages
  A word that programs test or operators set, but no page explains, can only be
  guessed.

  Scenario Outline: pages list every word of the code
    Then the page "<page>" lists every <kind>

    Examples:
      | page                | kind           |
      | settings.md         | settings field |
      | callers.md          | refusal reason |
      | callers.md          | request field  |
      | metrics.md          | degraded path  |
      | cli.md              | exit code      |
