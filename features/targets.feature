Feature: targets
  The adapter of the target port, against members in the process of the tests.

  # Guards against statements that run in another group's database, and against
  # terms of another group: the address of a member that is gone may be used
  # again before all hosts have the document that says so.
  Scenario Outline: targets at an address that another member uses now
    Given a member group "m1 m2" without faults
    When targets open a connection to "<name>" at the address of "m1"
    Then targets got <connection> that reads as "<name>"
    And targets got <standing> of "<name>" at the address of "m1"

    Examples:
      | name | connection    | standing    |
      | m1   | a connection  | a standing  |
      | gone | no connection | no standing |
