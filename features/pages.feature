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

  Scenario Outline: pages list the names that the code emits, and no others
    A metric or event without a row is found by chance only; a row without a
    name in the code is waited for in vain.
    Then the page "<page>" has a row for each <kind> of the code
    And the page "<page>" has no row without a name of the code

    Examples:
      | page       | kind      |
      | metrics.md | metric    |
      | logs.md    | decision  |
      | logs.md    | log event |
