Feature: Acknowledged commits beside changes of primary in any order of events
  A primary commits while replicas are paused, members join, are cut off from the
  host, and a promotion takes effect some time after the call.

  # Guards against lost commits (LOST) in an order of events that no other scenario
  # has: commits that a paused replica or one in a newer term was taken to have.
  Scenario: no explored order of events confirms a commit that is rolled back
    Then no confirmed commit is lost in the orders of events 0 to 399

  # Guards against the same beside processes that start again: a host that takes each
  # member for a witness, and a replica whose pause or log is gone.
  Scenario: no explored order with restarts loses a confirmed commit
    Then no confirmed commit is lost beside restarts of a "host" in the orders 0 to 99
    And no confirmed commit is lost beside restarts of a "replica, empty replica" in the orders 0 to 149
