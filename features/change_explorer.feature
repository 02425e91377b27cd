Feature: Changes of primary beside acknowledged commits, as a whole
  Two hosts change the primary of a group, and a third one confirms its commits.

  # Guards against lost commits (LOST) in orders of events that need the promoting and
  # the acknowledging code together: each alone is explored by the two other explorers.
  Scenario: no explored order of crashes, cuts and joins loses a confirmed commit
    Then no confirmed commit is lost beside no other events in the whole orders 0 to 29
