Feature: Metrics and decision log of a running host
  Runs a platform, three members and three hosts as separate processes. A UDP
  sink replaces statsd.

  Background:
    Given metrics of 3 hosts are sent to a sink

  Scenario: the sink receives the documented metrics
    Guards against a documented metric that no host sends: a dashboard for it
    would show no outage.
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

  Scenario: a read that accepts no stale data is sent to the primary only
    Guards against asking a replica first, which would waste a slot, and against
    a degraded path that is reported for a read that requires the primary.
    Given metrics host 2 reports no reads forced to the primary
    When metrics hosts run a read of the newest data through host 2
    Then the decision log of the metrics hosts for it includes route_read slot_granted
    And the metrics hosts sent it to the primary only
    And metrics host 2 still reports no reads forced to the primary

  Scenario Outline: the decisions for a request are logged at both hosts
    Guards against requests whose route can't be traced: the entry host and the
    owner must both log their decisions.
    When metrics hosts run <request> through host 1
    Then the decision log of the metrics hosts for it includes <events>

    Examples:
      | request                   | events                                     |
      | a write                   | route_write slot_granted                   |
      | an urgent write           | route_write slot_granted                   |
      | a read                    | route_read slot_granted                    |
      | a read of the newest data | route_read slot_granted                    |
      | a read with its session   | route_read slot_granted                    |
      | an unknown workspace      | request_refused                            |
      | a settled outcome         | route_settle slot_granted request_refused  |
      | a committed transaction   | route_write route_transaction slot_granted |
