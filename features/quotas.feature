Feature: Quotas across hosts
  All hosts together run no more operations of a workspace than its quota
  allows, and refuse none that it allows.

  # Guards against operations that are refused below the quota, and against a
  # round trip for each operation of a large workspace.
  Scenario Outline: nothing is refused in calm below the quota
    Given a quota of <rate> operations per second
    When the demand is <demand> times the quota
    Then no operation is refused
    And the bound is kept

    Examples:
      | rate | demand |
      | 5    | 0.6    |
      | 20   | 0.6    |
      | 175  | 0.6    |
      | 175  | 0.9    |

  # Guards against a home that never grants again once its bucket was not used
  # for a while, so that small workspaces move from host to host.
  Scenario: a workspace that pauses is served by the same home
    Given a quota of 5 operations per second
    Then a home grants again after a pause of 3 s and a claim

  # Guards against hosts that count on their own, so that the sum is too high.
  Scenario: a workspace that sends seven times its quota is limited
    Given a quota of 100 operations per second
    When the demand is 7 times the quota
    Then the bound is kept
    And the quota is used
    And the refusals say when to retry

  # Guards against a new home that starts with a full bucket, against two homes
  # that both grant the whole quota, and against a limit that stays as it was.
  Scenario Outline: the bound holds when the home of a workspace changes
    Given a quota of 100 operations per second
    When the demand is 7 times the quota and these events occur: <events>
    Then the bound is kept

    Examples: an event is kind, time, duration and host, in order of preference
      | events                            |
      | restart 4.5 0 1                   |
      | restart 4.5 0 0                   |
      | restart 4.5 0 1, restart 6.0 0 1  |
      | cut 4.5 4 0                       |
      | freeze 4.5 0.17 0, freeze 5.5 1 0 |
      | lists 3.0 8 0                     |
      | loss 4.0 8 0                      |
      | quota 5.0 0 0                     |

  # Guards against two hosts that grant the whole quota at the same time.
  Scenario: the bound holds whatever happens to hosts and connections
    Then the bound is kept in any history of hosts, cuts, losses and changes

  # Guards against messages and refusals where there is nothing to count.
  Scenario: work without a workspace takes no token
    Given a quota of 5 operations per second
    When an operation has no workspace
    Then no operation is refused
    And no message was sent

  # Guards against operations that count more than once or not at all, and
  # against tokens that are lost with attempts that no member ran.
  Scenario Outline: an operation that members run takes one token
    Given a session on a group whose primary is p
    And the session may run 5 operations
    And the members refuse <refused> requests as busy
    When the caller sends <statements>
    Then <tokens> tokens are taken

    Examples:
      | statements                       | refused | tokens |
      | read                             | 0       | 1      |
      | read                             | 1       | 1      |
      | write                            | 0       | 1      |
      | write                            | 1       | 1      |
      | begin, write, read, write, commit | 0      | 1      |
      | begin, write, commit             | 1       | 1      |
      | begin, write, commit, read       | 0       | 2      |
      | begin, rollback                  | 0       | 0      |

  # Guards against a hedged read that is counted once, though two members run it.
  Scenario: a second member that runs a read takes another token
    Given a session on a group whose primary is p
    And the session may run 5 operations
    And each statement takes 200 ms
    When the caller sends read
    And 500 ms pass
    Then as many tokens are taken as members ran it, which are several

  # Guards against statements that reach a member after the quota is used up.
  Scenario Outline: nothing runs when the quota is used up
    Given a session on a group whose primary is p
    And the session may run 0 operations
    When the caller sends <statements>
    Then the quota refuses it, and no member ran anything

    Examples:
      | statements   |
      | read         |
      | write        |
      | begin, write |
