Feature: Texts and JSON fields that callers send
  A malformed token or request id must be refused. A token that is parsed
  wrongly leads to a stale read, and such a request id lets a request run twice.

  Scenario Outline: text forms survive a round trip or are refused
    When the <kind> "<text>" is parsed
    Then the parsed text is "<expected>"

    Examples:
      | kind       | text                             | expected                       |
      | token      | forge-a:3:1042                   | forge-a:3:1042                 |
      | token      | forge-a:3                        | none                           |
      | token      | forge-a:-1:2                     | none                           |
      | token      | :1:2                             | none                           |
      | request id | 1764830000000.abcdefghijklmnop   | 1764830000000.abcdefghijklmnop |
      | request id | 1764830000000.short              | none                           |
      | request id | abcdefghijklmnop                 | none                           |

  Scenario Outline: a log contains an entry only at the entry's own term
    Given a log with terms "1:1 3:11" up to position 15
    Then the entry of term <term> at <position> is <verdict>

    Examples:
      | term | position | verdict   |
      | 1    | 10       | contained |
      | 1    | 11       | missing   |
      | 3    | 15       | contained |
      | 3    | 16       | missing   |
      | 2    | 10       | missing   |

  Scenario Outline: JSON fields of another type are refused
    A work class that was decoded as plain text broke the owner's scheduler.
    When the request field "<field>" is decoded from <json>
    Then the decoded field is "<expected>"

    Examples:
      | field       | json        | expected            |
      | work_class  | "urgent"    | WorkClass.URGENT    |
      | work_class  | "important" | refused             |
      | work_class  | 1           | refused             |
      | mode        | "read"      | AccessMode.READ     |
      | deadline_ms | 250         | 250                 |
      | deadline_ms | "250"       | refused             |
      | deadline_ms | true        | refused             |
      | repeatable  | 1           | refused             |
      | session_id  | 7           | refused             |
      | unknown     | 1           | refused             |
