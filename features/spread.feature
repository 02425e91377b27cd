Feature: Spread of host states, group views and leaving targets
  Hosts that disagree on who is alive, who holds a group or which target is
  leaving send work to the wrong place.

  Scenario Outline: spread members find each other through a seed
    A host that stays unknown gets no ownership and no changes.
    Given a spread fleet of <count> hosts
    When the spread fleet joins
    Then each spread host knows <count> hosts, all alive

    Examples:
      | count |
      | 2     |
      | 8     |
      | 24    |

  Scenario: spread members find a killed host dead
    Guards against ownership that stays with a dead host.
    Given a joined spread fleet of 8 hosts
    When spread host host-3 is killed
    And the spread fleet runs 8 periods
    Then each spread host sees host-3 as dead

  Scenario: spread tasks find a killed host dead on their own
    Guards against task loops that do not run what the steps test.
    Given a joined spread fleet of 4 hosts
    When the spread tasks run for 10 s
    And spread host host-3 is killed
    And the spread tasks run for 10 s
    Then each spread host sees host-3 as dead

  Scenario Outline: spread probes get around a fault between two hosts
    Guards against a healthy host that loses its ownership to one bad path.
    Given a joined spread fleet of <count> hosts
    When the spread path from host-1 to host-2 is <fault>
    And the spread fleet runs 20 periods
    Then each spread host knows <count> hosts, all alive
    And spread host host-2 has incarnation 0

    Examples:
      | count | fault  |
      | 6     | cut    |
      | 6     | silent |
      | 2     | silent |

  Scenario: spread suspicion of a healthy host is refuted
    Guards against a short interruption that counts as a death.
    Given a joined spread fleet of 8 hosts
    When spread host host-2 is isolated
    And the spread fleet runs 2 periods
    Then spread host host-2 is suspect somewhere
    When the spread paths are healed
    And the spread fleet runs 8 periods
    Then each spread host knows 8 hosts, all alive

  Scenario: spread suspects are probed again before their time is up
    Guards against a suspect that learns of the suspicion too late.
    Given a joined spread fleet of 24 hosts
    When spread host host-1 suspects host-2 and tells nobody
    And spread host host-1 runs 1 probe
    Then spread host host-2 has incarnation 1

  Scenario: spread of a death reaches a host that still probes
    Guards against a host that is held dead and never learns why.
    Given a joined spread fleet of 4 hosts
    When spread host host-1 holds host-2 dead and tells nobody
    And spread host host-2 runs 6 probes
    Then spread host host-2 has incarnation 1
    And spread host host-1 sees host-2 as alive

  Scenario: spread suspicion outlasts a pause of the suspecting host
    Guards against a paused host that declares others dead when it resumes.
    Given a joined spread fleet of 8 hosts
    When spread host host-2 is isolated
    And the spread fleet runs 2 periods
    Then spread host host-2 is suspect somewhere
    When the spread fleet is paused for 60 s
    And the spread paths are healed
    And the spread fleet runs 8 periods
    Then each spread host knows 8 hosts, all alive
    And no spread host has seen host-2 as dead

  Scenario: spread members return after a long partition
    Guards against two halves that hold each other dead for good.
    Given a joined spread fleet of 6 hosts
    When spread hosts 1 to 3 are cut from 4 to 6
    And the spread fleet runs 20 periods
    Then spread host host-1 sees host-5 as dead
    When the spread paths are healed
    And the spread fleet compares its state 4 times
    And the spread fleet runs 8 periods
    Then each spread host knows 6 hosts, all alive

  Scenario: spread members replace a restarted host at once
    Guards against two owners at one address.
    Given a joined spread fleet of 4 hosts
    When spread host host-4 is restarted
    And the spread fleet joins
    Then each spread host knows 4 hosts, all alive

  Scenario: spread of a leaving host is immediate and final
    Guards against new ownership on a host that is shutting down.
    Given a joined spread fleet of 8 hosts
    When spread host host-5 announces that it leaves
    Then each spread host sees host-5 as leaving
    When spread host host-5 is reported alive to all at its incarnation
    And spread host host-5 is reported suspect to itself
    And spread host host-5 is listed as live by the platform
    And the spread fleet runs 8 periods
    Then each spread host sees host-5 as leaving
    And spread host host-5 is placeable nowhere
    When spread host host-5 is killed
    And the spread fleet runs 12 periods
    Then each spread host sees host-5 as dead

  Scenario: spread of a leaving host from the platform's list
    Guards against a host that the platform removes while it takes new work.
    Given a joined spread fleet of 4 hosts
    When spread host host-2 is listed as leaving by the platform
    And spread host host-1 reads the host list
    And the spread fleet pushes
    Then each spread host sees host-2 as leaving

  Scenario: spread of liveness ignores a host list that lags
    Guards against a running host that is dropped because a list is late.
    Given a joined spread fleet of 4 hosts
    When the spread host list is empty
    And spread host host-1 reads the host list
    And the spread fleet runs 4 periods
    Then each spread host knows 4 hosts, all alive
    And the spread host list names host-1

  Scenario Outline: spread of a new group view
    Guards against writes that go to a replaced holder.
    Given a joined spread fleet of <count> hosts
    When spread host host-2 acquires term 5
    And the spread fleet pushes
    Then <share> of the spread hosts see term 5
    When the spread fleet runs <periods> periods
    Then 100% of the spread hosts see term 5
    When spread host host-1 learns term 4
    And the spread fleet runs 3 periods
    Then 100% of the spread hosts see term 5

    Examples:
      | count | share | periods |
      | 8     | 100%  | 0       |
      | 16    | 100%  | 0       |
      | 40    | 80%   | 6       |

  Scenario: spread changes survive the loss of all their messages
    Guards against a change that is lost for good after its last send.
    Given a joined spread fleet of 4 hosts
    When spread host host-2 is isolated
    And spread host host-2 acquires term 5
    And the spread fleet runs 40 periods
    And the spread paths are healed
    And spread host host-2 compares its state with host-1
    Then 50% of the spread hosts see term 5
    When the spread fleet compares its state 4 times
    Then 100% of the spread hosts see term 5

  Scenario Outline: spread of a leaving target
    Guards against new work on a target after 3 s.
    Given a joined spread fleet of <count> hosts
    And a spread document is known to all
    When spread target forge-a-2 is marked as leaving by <source>
    And the spread fleet pushes
    And the spread fleet runs <periods> periods
    Then each spread host treats forge-a-2 as leaving
    And each spread host treats forge-a-1 as staying

    Examples:
      | count | source       | periods |
      | 8     | an operator  | 0       |
      | 8     | the platform | 0       |
      | 40    | an operator  | 2       |

  Scenario: spread target may return after it was undeclared
    Guards against a target name that can never be used again.
    Given a joined spread fleet of 4 hosts
    And a spread document is known to all
    When spread target forge-a-2 is marked as leaving by an operator
    And the spread fleet pushes
    And the spread document no longer declares forge-a-2
    And the spread fleet compares its state 3 times
    Then each spread host treats forge-a-2 as staying

  Scenario: spread messages stay small and fall silent
    Guards against traffic that grows with the number of changes or hosts.
    Given a joined spread fleet of 24 hosts
    When spread host host-1 learns of 40 dead hosts
    And the spread fleet runs 5 periods
    Then no spread probe exceeds 600 bytes
    When the spread fleet runs 120 periods
    Then spread probes carry no changes

  Scenario: spread records merge to the same state in any order
    Guards against hosts that disagree for good after the same reports.
    Then spread records merged in any order give the same state

  Scenario: spread placement moves only the members of a departed host
    Guards against a restart that moves ownership all over the fleet.
    Then spread placement moves only the departed host's members

  Scenario: spread decisions are logged once with their evidence
    Guards against an owner that changes without a trace of the cause.
    Given a spread decision log
    When the spread owner of a member is asked for twice and then dies
    Then the spread decision log holds
      | decision   | evidence                          |
      | membership | reported                          |
      | membership | reported                          |
      | placement  | highest hash among the live hosts |
      | membership | suspicion not refuted in time     |
      | placement  | highest hash among the live hosts |

  Scenario: spread placement is balanced
    Guards against one host that owns everything.
    Then spread placement gives 8 hosts between 25 and 80 of 400 members

  Scenario Outline: spread placement prefers the data centre of the member
    Guards against owners far from their targets, or none.
    Given spread hosts "<hosts>"
    Then the spread owner of a member in centre-1 is <owner>

    Examples:
      | hosts                                         | owner |
      | a:centre-1:alive b:centre-2:alive             | a     |
      | a:centre-1:suspect b:centre-2:alive           | a     |
      | a:centre-1:leaving b:centre-2:alive           | b     |
      | a:centre-1:dead b:centre-2:alive              | b     |
      | a:centre-1:leaving b:centre-2:leaving         | none  |
