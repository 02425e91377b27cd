Feature: Service document files
  A faulty document that is accepted takes effect on every host within seconds,
  so each fault must be found before the document is accepted.

  Scenario Outline: documents with one fault name the field and the remedy
    When the forge document is loaded with "<old>" replaced by "<new>"
    Then the document has <count> faults, one in "<field>" saying "<text>"

    Examples:
      | old                       | new                         | count | field                                       | text                     |
      | schema_version: 1 | schema_version: 2 | 1 | schema_version | newer than this program |
      | schema_version: 1 | schema_version: 0 | 1 | schema_version | out of range |
      | schema_version: 1 | schema: 1 | 1 | schema_version | missing |
      | service: forge-ledger | service: forge ledger | 1 | service | is not a name |
      | group: forge-b | group: forge-d | 1 | workspaces[2].group | no group forge-d |
      | name: rail-shop | name: gate-shop | 1 | workspaces[1].name | already used in line |
      | name: forge-b-1 | name: forge-a-1 | 1 | groups[1].members[0].name | already used in line |
      | 127.0.0.1:17101 | 127.0.0.1:17100 | 1 | groups[0].members[1].address | already used in line |
      | 127.0.0.1:17101 | forge-db:17100 | 1 | groups[0].members[1].address | is not an address |
      | work_class: urgent | work_class: batch | 2 | promises | no promise is given for urgent |
      | work_class: urgent | work_class: asap | 2 | promises | no promise is given for urgent |
      | deadline_ms: 250 | deadline_ms: 0 | 1 | promises[0].deadline_ms | out of range |
      | max_age_ms: 2000 | max_age_ms: -1 | 1 | promises[0].max_age_ms | out of range |
      | deadline_ms: 250 | deadlin_ms: 250 | 2 | promises[0].deadlin_ms | Did you mean deadline_ms |
      | connection_limit_count: 3 | connection_limit_count: 17 | 1 | workspaces[3].connection_limit_count | Use at most 16 |
      | connection_limit_count: 3 | connection_limit_count: 0 | 1 | workspaces[3].connection_limit_count | out of range |

  Scenario: all faults of a document are reported at once, by line
    When this document is loaded
      """
      schema_version: 1
      service: s
      groups:
        - name: g
          members:
            - name: m
              data_centre: d
              address: 127.0.0.1:1
              connection_limit_count: 4
        - name: empty
          members: []
        - text
      workspaces:
        - {name: w, group: g, connection_limit_count: 5, colour: red}
        - {name: w, group: h}
      promises: none
      """
    Then the document faults are
      | line | field                                |
      | 11   | groups[1].members                    |
      | 12   | groups[2]                            |
      | 14   | workspaces[0].colour                 |
      | 14   | workspaces[0].connection_limit_count |
      | 15   | workspaces[1].name                   |
      | 15   | workspaces[1].group                  |
      | 16   | promises                             |

  Scenario: document files are unchanged by a round trip
    Then any document is loaded unchanged from its own text

  Scenario: document files of any content never raise an error
    Then any text is loaded as a document or reported with faults
