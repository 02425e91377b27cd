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

  # Guards against connections that nobody knows of and that use up the limit of
  # a member: work that was cancelled while its connection was opened left it
  # open. The places are turns of the event loop.
  Scenario: targets keep no connection whose opening was cancelled
    Given a member group "m1" without faults
    When targets cancel the opening of a connection to "m1" at 40 places
    Then targets have no connection open to "m1"
