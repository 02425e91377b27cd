Feature: Documentation pages
  Guards against undocumented names: without a page that explains them, the
  values that programs compare and operators set can only be guessed.

  Scenario Outline: pages list every name that the code defines
    Then the page "<page>" lists every <kind>

    Examples:
      | page                | kind           |
      | settings.md         | settings field |
      | callers.md          | refusal reason |
      | callers.md          | request field  |
      | metrics.md          | degraded path  |
      | cli.md              | exit code      |

  Scenario Outline: pages list the names that the code emits, and no others
    Guards against a metric or event without a row, which is found only by
    chance, and against a row for a name that the code never emits.
    Then the page "<page>" has a row for each <kind> in the code
    And the page "<page>" has no row for a name that is not in the code

    Examples:
      | page       | kind      |
      | metrics.md | metric    |
      | logs.md    | decision  |
      | logs.md    | log event |
