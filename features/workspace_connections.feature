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
