Feature: Hosts that hold a group
  In a large system a few hosts hold the connections to a group, and the others
  pass work on to them. All hosts compute the same holders.

  # Guards against groups without a holder, members that are asked for more
  # connections than they accept, and hosts that all move when one is lost.
  Scenario: any hosts choose holders that agree
    Then any hosts agree on the holders of any group
    And the shares of the holders of any group stay under the members' limit
    And a host that is lost moves only the groups that it held

  Scenario Outline: the number of holders follows from the size of the system
    Given a system of <hosts> hosts in <data_centres> data centres
    Then <holders> hosts hold each group

    Examples:
      | hosts | data_centres | holders |
      | 8     | 3            | 8       |
      | 12    | 4            | 12      |
      | 24    | 5            | 24      |
      | 25    | 5            | 5       |
      | 30    | 4            | 8       |
      | 72    | 3            | 6       |
      | 195   | 5            | 5       |

  # Guards against all hosts of a data centre that pass their work on to hosts of
  # another one, and against one that is tried again and again though it is lost.
  Scenario: work is passed on within the data centre, and past a lost holder
    Given a system of 72 hosts in 3 data centres
    And a host that does not hold the group
    Then the first 2 candidates are holders of its own data centre
    When the first candidate gives no answer
    Then the first candidate is another holder of its own data centre
    When all hosts of its own data centre give no answer
    Then the first candidate is a holder of another data centre

  # Guards against a group that nobody holds after its holders were lost.
  Scenario: a host holds a group while others ask it to
    Given a system of 72 hosts in 3 data centres
    And a host that does not hold the group
    When another host passes on work for the group
    Then the host holds the group
    When 11 s pass
    Then the host does not hold the group

  # Guards against hosts that all open connections at once when they restart and
  # reach no holder for a moment.
  Scenario: a host that reaches no holder takes over after some seconds
    Given a system of 72 hosts in 3 data centres
    And a host that follows the holders of the group
    When all hosts give no answer
    Then the host does not hold the group
    And the group is not reachable
    When 4 s pass while all hosts give no answer
    Then the host holds the group

  # Guards against more connections than a member accepts, when many hosts reach
  # no holder, each of which took the share of a holder.
  Scenario Outline: hosts that reach no other stay under the limit together
    Given a system of <hosts> hosts in 3 data centres
    When no host reaches another for 4 s
    Then 18 hosts hold the group, and 12 of them as stand-ins
    And their shares of <connections> connections add up to <sum>

    Examples:
      | hosts | connections | sum |
      | 73    | 60          | 60  |
      | 140   | 86          | 84  |
      | 73    | 16          | 16  |

  # Guards against shares that add up to more than a member accepts in a system
  # of another size, or while it counts the connections of former processes.
  Scenario: the shares of any hosts stay under the limit of the members
    Then the shares of holders and stand-ins of any system stay under the limit
    And so do those of holders before and after a restart

  # Guards against connections that are opened again and again at a holder, and
  # against hosts of small systems that keep places which others need.
  Scenario Outline: idle connections are kept by hosts that share them out
    Given a group whose primary is p
    And the host is one of <holders>
    When 3 connections to p are used at once and p is monitored for 1.2 s
    Then <count> connections to p are open

    Examples:
      | holders               | count |
      | 6 holders             | 3     |
      | 12 stand-ins          | 1     |
      | all hosts, which hold | 1     |

  # Guards against commits that end as unknown because the first connection to a witness
  # was opened with the commit, so that no older one shows that the witness has not started again.
  Scenario: a host keeps a connection to each replica
    Given a group whose primary is p
    And the host is one of all hosts, which hold
    And it knows the primary, and has no connection yet
    When 1 connections to p are used at once and p is monitored for 0.4 s
    Then 1 connections to a are open
    And 1 connections to b are open

  # Guards against a doubt about the process of a member that lasts, as the connection that
  # could end it is not used, or is closed as idle.
  Scenario: a connection that can end a doubt is used first and kept
    Given a group whose primary is p
    And the host is one of all hosts, which hold
    When 2 connections to p are used at once, and the first one can end a doubt
    Then the first connection is lent before the second one
    And the first connection is not closed as idle

  # Guards against a herd of hosts that know none of the others yet.
  Scenario: a host that knows no other host yet holds nothing
    Given a host that has not read the announcements
    Then the host does not hold the group

  # Guards against a late start: after a loss of power, a monitor that began before
  # the announcements were read rested for half a second more.
  Scenario: a group is monitored as soon as the announcements are read
    Given a group whose primary is p
    And a host that has not read the announcements yet
    When the announcements are read while its monitor rests
    Then the primary is found within 200 ms

  Scenario Outline: a host that does not hold a group passes its work on
    Given a host that does not hold the group of its callers, and one that does
    When the caller sends <statements>
    Then the last reply is <reply>
    And the members of the holder ran <runs>
    And the first host sent nothing to a member

    Examples:
      | statements               | reply   | runs                    |
      | write                    | success | write x                 |
      | read                     | success | read x                  |
      | begin, write, commit     | success | write x, COMMIT         |
      | begin, read, rollback    | success | read x                  |
      | set, write               | success | DISCARD or SET, write x |

  # Guards against work that is lost or repeated when a holder stops or is lost.
  Scenario Outline: a holder that is lost is followed by the next
    Given a host that does not hold the group of its callers, and one that does
    And before it in the ranking a holder that <fault>
    When the caller sends <statements>
    Then the last reply is success
    And the members of the holder ran <runs>

    Examples:
      | fault            | statements           | runs            |
      | is unreachable   | write                | write x         |
      | is unreachable   | read                 | read x          |
      | is unreachable   | begin, write, commit | write x, COMMIT |
      | is stopping      | write                | write x         |
      | is stopping      | read                 | read x          |
      | is stopping      | begin, write, commit | write x, COMMIT |
      | answers no reads | read                 | read x          |

  # Guards against a refusal that promises too little, or one only at the deadline.
  Scenario Outline: work is refused as not run if no holder is reached
    Given a host that does not hold the group of its callers, and one that does
    And before it in the ranking a holder that is unreachable
    And the other holder is unreachable as well
    When the caller sends <statements>
    Then the last reply is not_run
    And the members of the holder ran nothing

    Examples:
      | statements   |
      | write        |
      | read         |
      | begin, write |

  # Guards against a write that is repeated at another holder although the first
  # one may have run it.
  Scenario: a write without an answer is not repeated at another holder
    Given a host that does not hold the group of its callers, and one that does
    And before it in the ranking a holder that answers nothing
    When the caller sends write
    Then the last reply is unknown
    And the members of the holder ran nothing

  # Guards against reads that run on old data (STALE on further, scale-1): a
  # former primary goes on to accept transactions on that platform.
  Scenario Outline: a former primary proves nothing where it goes on to answer
    Given a group whose primary is p
    And an answer of a former primary proves nothing
    And replica a <a>
    And replica b <b>
    When primary p is probed
    Then p is <known> as the primary

    Examples:
      | a                   | b                   | known         |
      | follows             | follows             | confirmed     |
      | is silent           | follows             | confirmed     |
      | is paused           | follows             | confirmed     |
      | is paused           | is paused           | not confirmed |
      | is silent           | is silent           | not confirmed |
      | leads a newer term  | is silent           | not confirmed |
      | leads a newer term  | follows a newer one | not confirmed |

  Scenario Outline: callers behind a partition with a former primary are refused
    Given a group whose primary is p
    And an answer of a former primary proves nothing
    When primary p is probed
    And the members a,b are silent
    And the caller sends <statements>
    Then the last reply is not_run

    Examples:
      | statements  |
      | read        |
      | begin, read |

  # Guards against a host that reached no holder for some seconds and then kept
  # the connections of a stand-in for as long as it ran.
  Scenario: a host that took over ends this when a holder answers again
    Given a system of 72 hosts in 3 data centres
    And a host that follows the holders of the group
    When 4 s pass while all hosts give no answer
    Then the host holds the group
    When 9 s pass
    Then the host holds the group
    And it passes on one request a second to other hosts
    When a host that it passes one on to answers
    And 1 s pass
    And it passes on a request
    Then the host does not hold the group
