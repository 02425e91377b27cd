Feature: Operator interface
  Guards against unintended changes of a deployment: by a wrong request of an
  operator, by a client without the secret, or by a request whose answer is lost
  and which is reported as refused.

  Scenario Outline: operator requests get a status and an outcome
    Given an operator listener
    When the operator sends <method> "<path>" with body "<body>"
    Then the operator answer is <status> "<outcome>" and the actions were "<actions>"

    Examples:
      | method | path                               | body                              | status | outcome            | actions                    |
      | GET    | /v1/status                         |                                   | 200    | completed          |                            |
      | GET    | /v1/documents                      |                                   | 200    | completed          |                            |
      | GET    | /v1/documents/forge-ledger         |                                   | 200    | completed          |                            |
      | GET    | /v1/documents/other                |                                   | 404    | unknown_service    |                            |
      | PUT    | /v1/documents/forge-ledger         | revision 4                        | 200    | completed          | apply forge-ledger 4       |
      | PUT    | /v1/documents/forge-ledger         | revision 3                        | 409    | document_conflict  | apply forge-ledger 3       |
      | PUT    | /v1/documents/forge-ledger         | revision -1                       | 400    | bad_field          |                            |
      | PUT    | /v1/documents/other                | revision 4                        | 400    | bad_field          |                            |
      | PUT    | /v1/documents/forge-ledger         | {}                                | 400    | bad_field          |                            |
      | PUT    | /v1/documents/forge-ledger         | [                                 | 400    | bad_field          |                            |
      | PUT    | /v1/documents/forge-ledger         | 5                                 | 400    | bad_field          |                            |
      | PUT    | /v1/documents/forge-ledger         | faulty document                   | 400    | document_invalid   |                            |
      | POST   | /v1/targets/forge-a-1/drain        | {}                                | 200    | completed          | leaving forge-a-1 True     |
      | POST   | /v1/targets/forge-a-1/undrain      | {}                                | 200    | completed          | leaving forge-a-1 False    |
      | POST   | /v1/targets/absent/drain           | {}                                | 404    | unknown_target     | leaving absent True        |
      | POST   | /v1/targets/a%2Fb/drain            | {}                                | 404    | unknown_target     | leaving a/b True           |
      | POST   | /v1/groups/forge-a/promote         | {"member": "forge-a-2"}           | 200    | completed          | promote forge-a forge-a-2  |
      | POST   | /v1/groups/forge-a/promote         | {"member": 5}                     | 400    | bad_field          |                            |
      | POST   | /v1/groups/forge-b/promote         | {"member": "forge-b-2"}           | 504    | unknown            | promote forge-b forge-b-2  |
      | POST   | /v1/groups/forge-c/promote         | {"member": "forge-c-2"}           | 500    | unknown            | promote forge-c forge-c-2  |
      | POST   | /v1/groups/absent/promote          | {"member": "m"}                   | 404    | unknown_group      | promote absent m           |
      | POST   | /v1/drain                          | {}                                | 200    | completed          | drain host                 |
      | GET    | /v1/drain                          |                                   | 405    | bad_field          |                            |
      | GET    | /v2/status                         |                                   | 404    | bad_field          |                            |

  Scenario Outline: operator requests without the secret have no effect
    Given an operator listener
    When an unauthorized client sends <method> "<path>" with the operator secret "<secret>"
    Then the operator answer is 401 "unauthorized" and the actions were ""

    Examples:
      | method | path                  | secret                     |
      | POST   | /v1/drain             |                            |
      | POST   | /v1/drain             | wrong                      |
      | POST   | /v1/drain             | operator-secret-for-tests2 |
      | GET    | /v1/status            |                            |
      | GET    | /v2/absent            |                            |

  Scenario: an operator listener without a secret refuses every request
    Given an operator listener without a secret
    When an unauthorized client sends POST "/v1/drain" with the operator secret ""
    Then the operator answer is 401 "unauthorized" and the actions were ""
