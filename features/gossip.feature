Feature: Gossip of host states, group views and leaving targets
  Hosts that disagree on which hosts are alive, which host holds a group or
  which target is leaving route requests to the wrong place.

  Scenario Outline: gossip hosts find each other through a seed
    Guards against a host that stays unknown to the others and therefore gets
    no ownership and no changes.
    Given a gossip fleet of <count> hosts
    When the gossip fleet joins
    Then each gossip host knows <count> hosts, all alive

    Examples:
      | count |
      | 2     |
      | 8     |
      | 24    |

  Scenario: gossip detects a killed host
    Guards against ownership that stays with a dead host.
    Given a joined gossip fleet of 8 hosts
    When gossip host host-3 is killed
    And the gossip fleet runs 8 periods
    Then each gossip host sees host-3 as dead

  Scenario: gossip tasks detect a killed host
    Guards against task loops that do not run the code that the other scenarios
    call directly.
    Given a joined gossip fleet of 4 hosts
    When the gossip tasks run for 10 s
    And gossip host host-3 is killed
    And the gossip tasks run for 10 s
    Then each gossip host sees host-3 as dead

  Scenario Outline: gossip probes work around a fault between two hosts
    Guards against a healthy host that loses its ownership because of one broken
    network path.
    Given a joined gossip fleet of <count> hosts
    When the gossip path from host-1 to host-2 is <fault>
    And the gossip fleet runs 20 periods
    Then each gossip host knows <count> hosts, all alive
    And gossip host host-2 has incarnation 0

    Examples:
      | count | fault  |
      | 6     | cut    |
      | 6     | silent |
      | 2     | silent |

  Scenario: gossip refutes the suspicion of a healthy host
    Guards against a short interruption after which a host is considered dead.
    Given a joined gossip fleet of 8 hosts
    When gossip host host-2 is isolated
    And the gossip fleet runs 2 periods
    Then gossip host host-2 is suspect on at least one host
    When the gossip hosts are reconnected
    And the gossip fleet runs 8 periods
    Then each gossip host knows 8 hosts, all alive

  Scenario: gossip probes a suspect again before its suspicion times out
    Guards against a suspect that learns of the suspicion too late to refute it.
    Given a joined gossip fleet of 24 hosts
    When gossip host host-1 suspects host-2 without sending the change
    And gossip host host-1 runs 1 probe
    Then gossip host host-2 has incarnation 1

  Scenario: gossip tells a running host that it is considered dead
    Guards against a host that is considered dead and never learns of it, so
    that it cannot refute it.
    Given a joined gossip fleet of 4 hosts
    When gossip host host-1 marks host-2 dead without sending the change
    And gossip host host-2 runs 6 probes
    Then gossip host host-2 has incarnation 1
    And gossip host host-1 sees host-2 as alive

  Scenario: gossip restarts suspicions after a pause of the suspecting host
    Guards against a paused host that declares others dead when it resumes.
    Given a joined gossip fleet of 8 hosts
    When gossip host host-2 is isolated
    And the gossip fleet runs 2 periods
    Then gossip host host-2 is suspect on at least one host
    When the gossip fleet is paused for 60 s
    And the gossip hosts are reconnected
    And the gossip fleet runs 8 periods
    Then each gossip host knows 8 hosts, all alive
    And no gossip host has seen host-2 as dead

  Scenario: gossip hosts rejoin after a long partition
    Guards against two halves that consider each other dead forever.
    Given a joined gossip fleet of 6 hosts
    When gossip hosts 1 to 3 are cut from 4 to 6
    And the gossip fleet runs 20 periods
    Then gossip host host-1 sees host-5 as dead
    When the gossip hosts are reconnected
    And the gossip fleet compares its state 4 times
    And the gossip fleet runs 8 periods
    Then each gossip host knows 6 hosts, all alive

  Scenario: gossip replaces a restarted host immediately
    Guards against two hosts with ownership at one address.
    Given a joined gossip fleet of 4 hosts
    When gossip host host-4 is restarted
    And the gossip fleet joins
    Then each gossip host knows 4 hosts, all alive

  Scenario: gossip of a leaving host is immediate and final
    Guards against new ownership on a host that is shutting down.
    Given a joined gossip fleet of 8 hosts
    When gossip host host-5 announces that it leaves
    Then each gossip host sees host-5 as leaving
    When gossip host host-5 is reported alive to all at its incarnation
    And gossip host host-5 is reported suspect to itself
    And gossip host host-5 is listed as live by the platform
    And the gossip fleet runs 8 periods
    Then each gossip host sees host-5 as leaving
    And gossip host host-5 is placeable on no host
    When gossip host host-5 is killed
    And the gossip fleet runs 12 periods
    Then each gossip host sees host-5 as dead

  Scenario: gossip of a host that the platform lists as leaving
    Guards against a host that the platform removes while it accepts new work.
    Given a joined gossip fleet of 4 hosts
    When gossip host host-2 is listed as leaving by the platform
    And gossip host host-1 reads the host list
    And the gossip fleet pushes
    Then each gossip host sees host-2 as leaving

  Scenario: gossip keeps a live host that the host list does not contain
    Guards against a running host that is removed because the list is out of
    date.
    Given a joined gossip fleet of 4 hosts
    When the gossip host list is empty
    And gossip host host-1 reads the host list
    And the gossip fleet runs 4 periods
    Then each gossip host knows 4 hosts, all alive
    And the gossip host list names host-1

  Scenario Outline: gossip of a new group view
    Guards against writes that are routed to a holder that was replaced.
    Given a joined gossip fleet of <count> hosts
    When gossip host host-2 acquires term 5
    And the gossip fleet pushes
    Then <share> of the gossip hosts see term 5
    When the gossip fleet runs <periods> periods
    Then 100% of the gossip hosts see term 5
    When gossip host host-1 learns term 4
    And the gossip fleet runs 3 periods
    Then 100% of the gossip hosts see term 5

    Examples:
      | count | share | periods |
      | 8     | 100%  | 0       |
      | 16    | 100%  | 0       |
      | 40    | 80%   | 6       |

  Scenario: gossip changes survive the loss of all their messages
    Guards against a change that never arrives because all messages with it were
    lost.
    Given a joined gossip fleet of 4 hosts
    When gossip host host-2 is isolated
    And gossip host host-2 acquires term 5
    And the gossip fleet runs 40 periods
    And the gossip hosts are reconnected
    And gossip host host-2 compares its state with host-1
    Then 50% of the gossip hosts see term 5
    When the gossip fleet compares its state 4 times
    Then 100% of the gossip hosts see term 5

  Scenario Outline: gossip of a leaving target
    Guards against a host that still gives the target new work 3 s after it was
    marked.
    Given a joined gossip fleet of <count> hosts
    And a gossip document is known to all
    When gossip target forge-a-2 is marked as leaving by <source>
    And the gossip fleet pushes
    And the gossip fleet runs <periods> periods
    Then each gossip host treats forge-a-2 as leaving
    And each gossip host treats forge-a-1 as staying

    Examples:
      | count | source       | periods |
      | 8     | an operator  | 0       |
      | 8     | the platform | 0       |
      | 40    | an operator  | 2       |

  Scenario: gossip target may be declared again after its removal
    Guards against a target name that stays marked as leaving and can never be
    used again.
    Given a joined gossip fleet of 4 hosts
    And a gossip document is known to all
    When gossip target forge-a-2 is marked as leaving by an operator
    And the gossip fleet pushes
    And the gossip document no longer declares forge-a-2
    And the gossip fleet compares its state 3 times
    Then each gossip host treats forge-a-2 as staying

  Scenario: gossip messages stay small and stop carrying changes
    Guards against traffic that grows with the number of changes or hosts.
    Given a joined gossip fleet of 24 hosts
    When gossip host host-1 learns of 40 dead hosts
    And the gossip fleet runs 5 periods
    Then no gossip probe exceeds 600 bytes
    When the gossip fleet runs 120 periods
    Then gossip probes carry no changes

  Scenario: gossip records merge to the same state in any order
    Guards against hosts that disagree forever after the same reports.
    Then gossip records merged in any order give the same state

  Scenario: gossip placement moves only the members of a departed host
    Guards against a restart that moves ownership between unrelated hosts.
    Then gossip placement moves only the departed host's members

  Scenario: membership and placement changes are logged once, with evidence
    Guards against a change of owner whose cause is not logged.
    Given a gossip decision log
    When the gossip owner of a member is asked for twice and then dies
    Then the gossip decision log holds
      | decision   | evidence                          |
      | membership | reported                          |
      | membership | reported                          |
      | placement  | highest hash among the live hosts |
      | membership | suspicion not refuted in time     |
      | placement  | highest hash among the live hosts |

  Scenario: gossip placement is balanced
    Guards against one host that owns everything.
    Then gossip placement gives 8 hosts between 25 and 80 of 400 members

  Scenario Outline: gossip placement prefers the data centre of the member
    Guards against owners in another data centre than their targets, and against
    targets without an owner.
    Given gossip hosts "<hosts>"
    Then the gossip owner of a member in centre-1 is <owner>

    Examples:
      | hosts                                         | owner |
      | a:centre-1:alive b:centre-2:alive             | a     |
      | a:centre-1:suspect b:centre-2:alive           | a     |
      | a:centre-1:leaving b:centre-2:alive           | b     |
      | a:centre-1:dead b:centre-2:alive              | b     |
      | a:centre-1:leaving b:centre-2:leaving         | none  |
