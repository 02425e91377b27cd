Feature: Connections by workspace
  A connection carries the statements of the workspace that it was opened for,
  and of no other. Members spend slot time on each new connection.

  # Guards against a statement on the connection of another workspace, against
  # more connections than the limit while one replaces another, and against a
  # workspace that never gets a place.
  Scenario: any borrowers get connections of their own workspace
    Then any borrowers of any workspaces get connections of their own
    And the member never counts more connections than the pool may have
    And each borrower gets a connection in the end

  # Guards against callers without a workspace who get one of a workspace.
  Scenario Outline: idle connections are used by their workspace only
    Given a pool of 4 connections with an idle one of workspace alpha
    When a connection is borrowed for <borrower>
    Then it is one of <owner>, and the member opened <count>

    Examples:
      | borrower        | owner           | count |
      | workspace alpha | workspace alpha | 1     |
      | workspace beta  | workspace beta  | 2     |
      | no workspace    | no workspace    | 2     |
      | the product     | workspace alpha | 1     |

  # Guards against the end of a connection that is about to be used again.
  Scenario: the least recently used connection is replaced at the limit
    Given a pool of 3 connections, used by alpha, beta, gamma, alpha in turn
    When a connection is borrowed for workspace delta
    Then the idle connections are those of alpha, gamma, delta

  # Guards against a probe that makes the connection of a workspace seem used.
  Scenario: requests of the product do not keep a connection from replacement
    Given a pool of 3 connections, used by alpha, beta, gamma in turn
    When the product borrows each connection at once
    And a connection is borrowed for workspace delta
    Then the idle connections are those of beta, gamma, delta

  # Guards against a wave of attempts, which keeps a member busy that has no
  # place, and against one after the first success.
  Scenario: a member without places is asked by one attempt at a time
    Given a member that accepts no connection for 3 s
    When 60 borrowers of 20 workspaces wait for a connection
    Then at most 14 attempts were refused, one at a time after the first
    And the attempts after the first success are 1, 2 and then at most 4 at once
    And all borrowers got a connection

  # Guards against work of a workspace that is spread over hosts and members
  # without need: each of them then opens connections for it.
  Scenario Outline: few statements open a connection if workspaces have holders
    When 79 workspaces of uneven size send their load to 73 hosts, seed <seed>
    Then at most 10 of a hundred statements open a connection
    And without regard to workspaces at least 30 of a hundred do

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against hosts that send the work of one workspace to different
  # holders, and against a large workspace that has only one.
  Scenario Outline: the holders of a workspace follow from its quota
    Given a system of 73 hosts in 3 data centres
    When all hosts choose a holder for a workspace with <share> of all quotas
    Then they choose <count> holders

    Examples:
      | share | count |
      | 0     | 1     |
      | 0.11  | 1     |
      | 0.12  | 2     |
      | 0.3   | 3     |
      | 1     | 6     |

  Scenario: any host passes the work of any workspace on to holders
    Then any host prefers holders of its data centre among those of a workspace

  # Guards against a holder that keeps work for itself which another has the
  # connections for, and against work that stays with a holder that is lost.
  Scenario: a holder passes the work of a workspace on to the one that has it
    Given a system of 73 hosts in 3 data centres
    And a holder of the group that is not the one of workspace alpha
    Then it passes on the work of alpha, and runs work without a workspace
    When the holder of alpha gives no answer
    Then it passes on the work of alpha to another holder, or runs it

  Scenario: shares of quotas follow the configuration
    Given a configuration with the quotas alpha 30, beta 10
    Then the shares are alpha 0.75, beta 0.25, gamma 0
    When a newer version has the quotas alpha 10, beta 10
    Then the shares are alpha 0.5, beta 0.5, gamma 0

  # Guards against reads of a workspace that change between equally good members.
  Scenario: reads of a workspace prefer a member with a connection for it
    Given a group of 3 members with an idle connection of alpha to m3
    Then reads of alpha choose m3, even if it has been a little slower
    And reads of beta choose one that is not
    When m3 has refused a read
    Then reads of alpha choose another member

  # Guards against transactions that stay idle and keep all connections, so that
  # statements of other callers, and of the same workspace, find none.
  Scenario Outline: open transactions leave connections to statements
    Given a pool of <limit> connections
    When <count> transactions of each of <workspaces> begin and stay idle
    Then <open> of them are open
    And a statement of each of <workspaces> and of delta is served at once
    When the transactions end
    Then all of them have been open

    Examples:
      | limit | count | workspaces               | open |
      | 8     | 6     | alpha                    | 2    |
      | 8     | 6     | alpha, beta              | 4    |
      | 8     | 6     | alpha, beta, gamma, zeta | 4    |
      | 2     | 3     | alpha                    | 1    |

  # Guards against a bound that changes deployments without workspaces.
  Scenario: transactions of callers without a workspace are not bounded
    Given a pool of 4 connections
    When 4 transactions of callers without a workspace begin and stay idle
    Then 4 of them are open
    When the transactions end
    Then all of them have been open

  # Guards against a statement that runs in a transaction of another workspace,
  # for example after a host passed on the key of the transaction by mistake.
  Scenario Outline: a statement of another workspace does not run
    Given a transaction of <owner> at member p
    When a statement of <sender> is to run in it
    Then the transaction ran <statements>

    Examples:
      | owner        | sender       | statements |
      | alpha        | alpha        | READ x     |
      | alpha        | beta         | nothing    |
      | alpha        | no workspace | nothing    |
      | no workspace | beta         | nothing    |
