Feature: Changes of primary in any order of events
  Members commit, leave, are replaced, crash, return and are cut off from the
  host, also while it changes the primary.

  # Guards against lost commits (LOST) by a promotion in an order of events that no
  # other scenario has: members that receive before they are registered, that leave
  # as the only ones with a commit or receive nothing, a store that is silent, and a
  # host that starts again meanwhile.
  Scenario: no explored order of events loses an acknowledged commit
    Then no commit is lost in the orders of events 0 to 999

  # Guards against the same by a host that started again and never saw the lost
  # primary, which alone has what its lead began with.
  Scenario: a host that starts again does not lose what the last lead began with
    Then no commit is lost in the orders of events 5687 to 5687
    And no commit is lost in the orders of events 21306 to 21306
    And no commit is lost in the orders of events 21730 to 21730
    And no commit is lost in the orders of events 61191 to 61191
