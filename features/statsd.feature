Feature: Metrics and decision lines of a running host
  Runs a platform, three members and three hosts as separate processes, with a
  UDP sink in the place of statsd.

  Background:
    Given metrics of 3 hosts are sent to a sink

  Scenario: the sink receives the documented metrics
    A dashboard that waits for a name that no host sends shows no outage.
    When metrics are caused by writes, reads, a refusal and a platform outage
    Then the metrics received include
      | name                          | type |
      | outcome.completed             | c    |
      | outcome.refused               | c    |
      | request.interactive           | ms   |
      | request.urgent                | ms   |
      | read.replica                  | c    |
      | read.primary                  | c    |
      | route.write                   | c    |
      | owner.granted                 | c    |
      | owner.wait.interactive        | ms   |
      | owner.wait.urgent             | ms   |
      | terms.acquired                | c    |
      | degraded.platform_unreachable | g    |
    And each of the metrics received has a row in docs/metrics.md

  Scenario: a read that accepts no age is sent to the primary only
    Asking a replica first would waste a slot, and a read that asks for the
    primary is no degraded path.
    Given metrics host 2 reports no reads forced to the primary
    When metrics hosts run a read of the newest through host 2
    Then the lines of the metrics hosts for it include route_read slot_granted
    And the metrics hosts sent it to the primary only
    And metrics host 2 still reports no reads forced to the primary

  Scenario Outline: each request has its decision lines at entry host and owner
    A request whose route can't be traced can't be explained to its caller.
    When metrics hosts run <request> through host 1
    Then the lines of the metrics hosts for it include <lines>

    Examples:
      | request                  | lines                                    |
      | a write                  | route_write slot_granted                 |
      | an urgent write          | route_write slot_granted                 |
      | a read                   | route_read slot_granted                  |
      | a read of the newest     | route_read slot_granted                  |
      | a read with its session  | route_read slot_granted                  |
      | an unknown workspace     | request_refused                          |
      | a settled outcome        | route_settle slot_granted request_refused |
      | a committed transaction  | route_write route_transaction slot_granted |
