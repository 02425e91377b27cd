Feature: targets
  Tests the adapter of the target port with members in the process of the tests.

  # Guards against statements that run in the database of another group, and
  # against terms of another group. The address of a removed member may be
  # assigned again before all hosts have the document that says so.
  Scenario Outline: targets at an address that another member uses
    Given a member group "m1 m2" without faults
    When targets open a connection to "<name>" at the address of "m1"
    Then targets got <connection> that reads as "<name>"
    And targets got <standing> of "<name>" at the address of "m1"

    Examples:
      | name | connection    | standing    |
      | m1   | a connection  | a standing  |
      | gone | no connection | no standing |

  # Guards against leaked connections that use up the connection limit of a
  # member. Work that was cancelled while its connection was being opened left
  # the connection open. The opening is cancelled at increasing turns of the event loop.
  Scenario: targets keep no connection whose opening was cancelled
    Given a member group "m1" without faults
    When targets cancel the opening of a connection to "m1" at 40 places
    Then targets have no connection open to "m1"
