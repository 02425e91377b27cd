Feature: Change of a primary
  The promoted member must have every acknowledged commit in its log, and no
  late promotion may take effect after replicas receive again.

  Scenario Outline: a lost primary is replaced only if no commit can be lost
    Given a group whose primary is p
    And the members <silent> are silent
    And member a has received up to 1.<a>
    And member b has received up to 1.<b>
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | silent | a  | b  | promoted |
      | p      | 12 | 11 | a        |
      | p      | 11 | 12 | b        |
      | p,a    | 12 | 11 | none     |
      | p,b    | 12 | 11 | none     |
      | a      | 12 | 11 | none     |

  Scenario: replicas receive again from a new primary
    # Guards against replicas that stay paused after a promotion. On scale-2 of
    # the desk this stalled writes for 12 s.
    Given a group whose primary is p
    And the members p are silent
    When a host replaces the lost primary
    Then no member is paused

  Scenario: replicas that a failed host left paused receive again
    Given a group whose primary is p
    And members a and b are paused
    When a host replaces the stalled primary
    Then no member is paused
    And member p is the primary: yes
    And the promotion calls name p

  Scenario: an older promotion is refused once replicas receive again
    # Guards against lost commits (LOST, seed 21): another host may have paused
    # the replicas under a reserved token, and the store does not know that this
    # token is in use.
    Given a group whose primary is p
    And members a and b are paused
    When a host replaces the stalled primary
    Then no member is paused
    And the platform refuses a promotion with a token reserved earlier

  Scenario: replicas that a newer claim paused stay paused
    # Guards against lost commits (LOST): a host with an older claim must not
    # resume replicas that another host has paused under a newer claim and is
    # about to promote.
    Given a group whose primary is p
    And members a and b are paused under a newer claim
    When a host replaces the stalled primary
    Then replica b is paused
    And the promotion calls name none

  Scenario: replicas that a newer claim pauses during a resume stay paused
    # Guards against the same fault as the scenario before, with a newer pause
    # that takes place while this host resumes the replicas.
    Given a group whose primary is p
    And members a and b are paused
    And a host with a newer claim pauses a and b during the promotion call
    When a host replaces the stalled primary
    Then replica b is paused

  Scenario Outline: replicas receive again only while the claim is held
    # Guards against lost commits (LOST in the live test, seed 12): the claim
    # expired when the new primary was seen to lead, and the host resumed
    # replicas that the next holder of the claim had just paused.
    Given a group whose primary is p
    And members a and b are paused
    And the claim expires during the promotion call and <next>
    When a host replaces the stalled primary
    Then replica b is <state>

    Examples:
      | next                      | state     |
      | can be renewed            | receiving |
      | is held by another host   | paused    |
      | the store does not answer | paused    |

  Scenario Outline: a witness that may be resumed late does not count as paused
    # Guards against lost commits (LOST, issue 47): a request to resume has no token. One of
    # an earlier change, carried out late, lets the witness receive again after it answered
    # the pause, and the primary that is cut off acknowledges commits because of it.
    Given a group whose primary is p
    And the host saw member p lead
    And a request to resume <process> may still be carried out
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | process                | promoted |
      | a                      | none     |
      | the former one of a    | b        |

  Scenario Outline: requests to resume are recorded while they may be carried out
    # Guards against the same: hosts that change the primary later learn of such a request
    # from the store only.
    Given a group whose primary is p
    And members a and b are paused
    And <event>
    When a host replaces the stalled primary
    Then the members <sent> got a request to resume
    And requests to resume <recorded> are recorded

    Examples:
      | event                                                | sent | recorded |
      | all members answer                                   | a,b  | none     |
      | member a does not answer requests to resume          | a,b  | a        |
      | the store does not answer when requests are recorded | a,b  | none     |
      | another host claims before requests are recorded     | none | a,b      |
      | member b is not paused any more                      | a    | none     |

  Scenario: replicas whose pause a promotion has ended get no request to resume
    # Guards against the same: such a request changes nothing, unless it is carried out late.
    Given a group whose primary is p
    And each promotion ends the pauses of all members
    And the members p are silent
    When a host replaces the lost primary
    Then the members none got a request to resume

  Scenario: a host that was suspended does not promote under its old claim
    # Guards against a host that slept for longer than its claim lasts, and then
    # promotes beside the next holder: not every platform checks the tokens.
    Given a group whose primary is p
    And the members p are silent
    And the host is suspended between its claim and its promotion call
    When a host replaces the lost primary
    Then the promotion calls name none

  Scenario: replicas stay paused if the platform refuses the newer token
    Given a group whose primary is p
    And members a and b are paused
    And the platform has seen a higher token
    When a host replaces the stalled primary
    Then replica b is paused

  Scenario: a former primary that is a replica now is paused too
    # Guards against lost commits (LOST on trouble-1, seed 682287380935): the
    # former primary was not paused and went on to acknowledge commits.
    Given a group whose primary is p
    And member a was promoted and this host does not know it
    And the members a are silent
    When a host replaces the lost primary
    Then member p was paused before the promotion
    And the promoted member is b

  Scenario: replicas receive again after a change is aborted
    Given a group whose primary is p
    And member p does not answer control request 1
    When a host replaces the lost primary
    Then replica b was paused and is receiving
    And the promotion calls name p

  Scenario Outline: a host that reaches too few members does not intervene
    # Guards against hosts behind a partition that hold the claim or pause
    # replicas while other hosts could replace the primary.
    Given a group whose primary is p
    And the members <silent> are silent
    When a host replaces the lost primary
    Then no claim was requested
    And no member was paused

    Examples:
      | silent |
      | a      |
      | p,a    |
      | p,a,b  |

  Scenario: replicas stay paused while a late promotion may take effect
    Given a group whose primary is p
    And the members p are silent
    And member a does not answer control request 2
    When a host replaces the lost primary
    Then replica b is paused

  Scenario: a promotion without an answer keeps the claim
    Given a group whose primary is p
    And the members p are silent
    And the platform does not answer promotions
    When a host replaces the lost primary
    Then the claim is still held

  Scenario Outline: two hosts do not change a primary in turn
    # Guards against two hosts that promote in turn (ONE, hunt seed 59233835421):
    # each released its claim after the promotion call of a change that it gave
    # up, and the next host began the same change.
    Given a group whose primary is p
    And pauses of <ignoring> get no answer
    And the members <silent> are silent
    When two hosts try to <change> in turn
    Then the hosts that called a promotion are <hosts>

    Examples:
      | change                      | ignoring | silent | hosts  |
      | hand over                   | a        | none   | host-1 |
      | hand over                   | nobody   | none   | host-1 |
      | hand over                   | b        | b      | none   |
      | replace the lost primary    | nobody   | p      | host-1 |

  Scenario: a host that called no promotion releases its claim
    Given a group whose primary is p
    And the members p are silent
    And pauses of b get no answer
    When a host replaces the lost primary
    Then the claim was released
    And the promotion calls name none

  Scenario: a host keeps the claim under which it called a promotion
    # Guards against a later attempt of the same host, given up before its
    # promotion call, that releases the claim too early.
    Given a group whose primary is p
    And members a and b are paused
    When a host replaces the stalled primary
    And the members p are silent
    And pauses of b get no answer
    And a host replaces the lost primary
    Then the claim is still held

  Scenario: a leaving primary hands over to a replica with an equal log
    Given a group whose primary is p
    And member p has received up to 1.20
    And member a has received up to 1.20
    And member b has received up to 1.15
    When the leaving primary hands over
    Then the promoted member is a

  # Guards against lost commits: a replica of a newer term, which began without this
  # host, was taken for one that has the log of the leaving primary.
  Scenario Outline: a leaving primary hands over within its own term
    Given a group whose primary is p
    And member p is in term <term>, up to <p>
    And member a has received up to <a>
    And member b has received up to 1.15
    When the leaving primary hands over
    Then the promotion calls name <promoted>

    Examples:
      | p    | term | a    | promoted |
      | 1.20 | 1    | 2.21 | p        |
      | 1.20 | 2    | 2.21 | a        |
      | 1.20 | 2    | 1.20 | a        |
      | 1.20 | 2    | 1.19 | p        |
      | 2.20 | 2    | 2.19 | p        |

  Scenario: a leaving primary does not hand over if a replica is silent
    Given a group whose primary is p
    And member a has received up to 1.20
    And the members b are silent
    When the leaving primary hands over
    Then the promoted member is none

  Scenario: a host without connections does not consider the primary lost
    # Guards against a needless change: a host had none of the 16 connections of
    # the member reserved for itself, and could not probe the primary.
    Given a group whose primary is p
    And member p accepts no more connections
    When the primary monitor runs for 700 ms
    Then the promoted member is none

  Scenario: a lost primary is replaced without a timeout at each step
    # Guards against a slow change: when a zone was cut off on trouble-1, two
    # groups had no primary for 2.2 s, as the search, the status requests and
    # the pause each waited until the request to the lost member timed out.
    Given a group whose primary is p
    And new connections to the members p time out after 300 ms
    When the primary monitor runs for 1000 ms
    Then a replica is the primary

  Scenario: a silent primary with all its connections in use is detected
    # Guards against a late change: the host could open no further connection,
    # considered the primary overloaded instead of lost, and did not replace it
    # for 5 s.
    Given a group whose primary is p
    And requests hang on all connections to p
    And new connections to the members p time out after 300 ms
    When the primary monitor runs for 1200 ms
    Then a replica is the primary

  Scenario: the primary monitor replaces a silent primary
    Given a group whose primary is p
    And the members p are silent
    When the primary monitor runs for 900 ms
    Then a replica is the primary

  Scenario: a reserved token is used while the store is down
    Given a group whose primary is p
    When the store is down and a host claims with a reserved token
    Then the claim has the reserved token

  Scenario: requests to resume under a reserved token do not depend on the store
    # Guards against replicas that stay paused after a change with a reserved token: the
    # store answers again, and has a claim of another host.
    Given a group whose primary is p
    And another host claims before requests are recorded
    When the store is down and a host claims with a reserved token
    Then it is not known whether requests to resume are recorded

  Scenario Outline: a primary that reaches no replica is replaced
    # Guards against lost commits (LOST on scale-1): a crashed replica had
    # commits that the other replica lacked.
    Given a group whose primary is p
    And member p has received up to 1.20
    And member a has received up to 1.10
    And member b has received up to 1.12
    And the members <silent> are silent
    When a host replaces the stalled primary
    Then the promoted member is <promoted>
    And member p is the primary: <still>

    Examples:
      | silent | promoted | still |
      | none   | b        | no    |
      | a      | none     | yes   |
      | b      | none     | yes   |

  Scenario: a primary without commits of its own is found
    # Guards against a new primary that is not recognized: on scale-1 its log
    # position had the term of its last commit, and no host accepted it as the
    # primary for 20 s.
    Given a group whose primary is p
    And the former primary was confirmed at 2.102
    And member a leads with its log at 1.84
    When the primary monitor runs for 900 ms
    Then the host knows member a as the primary
    And reads wait for 1.84

  Scenario: a primary that answers is not replaced
    Given a group whose primary is p
    When a host replaces the lost primary
    Then the promoted member is none
    And no member was paused

  Scenario Outline: a change does not wait for a member that announced leaving
    # Guards against a blocked change: on trouble-1 the lost primary could not
    # be replaced because of a replica that had been replaced itself. While the
    # registry does not answer, the member that replaced it is not known.
    Given a group whose primary is p
    And member a announced <leaving_s> s ago that it leaves
    And member a is <listing>
    And member a is <recorded> a recorded witness
    And the registry <answers>
    And the members p,a are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | leaving_s | listing            | recorded  | answers        | promoted |
      | 14        | unlisted for 6 s   | no longer | answers        | b        |
      | 8         | unlisted for 6 s   | no longer | answers        | b        |
      | 3         | unlisted for 1 s   | no longer | answers        | none     |
      | 13        | listed             | no longer | does not       | none     |
      | 13        | listed             | no longer | answers        | none     |
      | 8         | listed             | no longer | does not       | none     |

    # Guards against lost commits that only a member had which has left: another
    # replica may not have received them before the primary was lost as well.
    Examples: it is still recorded
      | leaving_s | listing            | recorded  | answers        | promoted |
      | 14        | unlisted for 6 s   | still     | answers        | none     |
      | 24        | unlisted for 19 s  | still     | answers        | none     |
      | 26        | unlisted for 21 s  | still     | answers        | none     |

  Scenario Outline: the successor of a member that left is waited for
    # Guards against lost commits (LOST in the live test, seed 5): the successor
    # of a leaving replica had received the last commits and was listed only
    # after another replica, which lacked them, had been promoted.
    Given a group whose primary is p
    And member a announced 8 s ago that it leaves
    And member a is unlisted for <unlisted_s> s
    And member a is <recorded> a recorded witness
    And the members p,a are silent
    And <successor>
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | unlisted_s | recorded  | successor                                    | promoted |
      | 0          | no longer | no successor of a can be read                | none     |
      | 4          | no longer | no successor of a can be read                | none     |
      | 6          | no longer | no successor of a can be read                | b        |
      | 6          | still     | no successor of a can be read                | none     |
      | 0          | no longer | the successor of a is listed and is ahead    | d        |
      | 4          | no longer | the successor of a is listed and is ahead    | d        |
      | 4          | still     | the successor of a is listed and is ahead    | none     |

  Scenario: a host that has just started is not in rotation yet
    Given a group whose primary is p
    Then the host is not ready

  Scenario Outline: a host is in rotation while it serves as well as others
    Given a group whose primary is p
    And the primary was last confirmed <age_ms> ms ago
    And the host cannot connect to <missed>
    Then the host is <state>

    # A lost primary is unreachable for all hosts. When a zone was cut off on
    # trouble-1, two of three members were lost, and hosts that were not cut off
    # left the rotation. A primary that this host reaches through other hosts is
    # confirmed as well.
    Examples:
      | age_ms | missed | state     |
      | 100    | none   | ready     |
      | 1500   | p      | ready     |
      | 2600   | p      | not ready |
      | 100    | p,a    | ready     |
      | 700    | p,a    | not ready |
      | 700    | p      | ready     |

  Scenario: a host that was cut off is in rotation again once it reaches members
    Given a group whose primary is p
    And the host cannot connect to p,a
    And the primary was last confirmed 700 ms ago
    When the primary monitor runs for 700 ms
    Then the host is ready

  Scenario Outline: the load balancer removes a host after two refusals in a row
    # Callers that are redirected earlier return to the same data centre.
    When the load balancer is answered <answers>
    Then the host is <state>

    Examples:
      | answers                     | state           |
      | refused                     | in rotation     |
      | refused, refused            | out of rotation |
      | refused, ready, refused     | in rotation     |
      | refused, refused, ready     | in rotation     |

  Scenario Outline: a host waits for registrations that expired in an outage
    # Guards against members that get no work after an outage: on trouble-1 all
    # members were unlisted for a second after the store had recovered, and no
    # replica was asked.
    Given a group whose primary is p
    And reads of the registry <outage>
    When the registry lists no members
    Then member a <use> new work

    Examples:
      | outage    | use          |
      | failed    | gets         |
      | succeeded | does not get |

  Scenario Outline: a host that starts opens few connections to a member
    # Guards against connection shortage: on trouble-1 four hosts that restarted
    # after a loss of power took all connections that were left.
    Given a group whose members accept <count> connections
    And the host started <age_s> s ago
    When the registry lists all members
    Then the host may open <share> connections to each

    Examples:
      | count | age_s | share |
      | 16    | 0     | 1     |
      | 16    | 4     | 3     |
      | 32    | 0     | 2     |
      | 32    | 4     | 6     |
      | 4     | 4     | 2     |

  Scenario Outline: a host that may not know the primary promotes nobody
    # Guards against the incident inc-8031: a host that the store refused did
    # not know the new primary, and requested the promotion of another member.
    Given a group whose primary is a member that this host does not know
    And reads of the registry <outcome>
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | outcome   | promoted |
      | failed    | none     |
      | succeeded | b        |

  Scenario Outline: a member that registered just now is asked too
    # Guards against lost commits (LOST in the live test, seed 5): the host knew
    # only the member that had left, and the member that replaced it had
    # received the last commits.
    Given a group whose primary is p
    And member d replaced member a and is unknown to this host
    And member a is no longer a recorded witness
    And member b has received up to 1.11
    And member d has received up to 1.12
    And the registry <registry>
    And the members <silent> are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | registry          | silent | promoted |
      | lists member d    | p      | d        |
      | lists member d    | p,d    | none     |
      | falls silent      | p      | none     |
      | answers too late  | p      | none     |

  Scenario Outline: a leaving primary does not hand over if a replica is unknown
    # Guards against lost commits that only a member received that was not
    # paused because this host did not know it.
    Given a group whose primary is p
    And member d replaced member a and is unknown to this host
    And member p has received up to 1.11
    And member b has received up to 1.11
    And the registry <registry>
    And the members <silent> are silent
    When the leaving primary hands over
    Then the promoted member is <promoted>
    And member d was paused <count> times

    Examples:
      | registry         | silent | promoted | count |
      | lists member d   | none   | b        | 1     |
      | lists member d   | d      | none     | 0     |
      | falls silent     | none   | none     | 0     |
      | answers too late | none   | none     | 0     |

  Scenario Outline: a member that lapsed before the host started is waited for
    # Guards against lost commits (LOST, review case 8): two members were listed,
    # one of them silent, and a host that had just started took them for all.
    Given a group whose primary is p
    And the registration of member a has lapsed
    And member a is <recorded> a recorded witness
    And the host first read the registrations <age_s> s ago
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | age_s | recorded  | promoted |
      | 3     | no longer | none     |
      | 9     | no longer | none     |
      | 11    | no longer | b        |
      | 11    | still     | none     |

  Scenario Outline: a host that never saw the last primary reads what it began with
    # Guards against lost commits (LOST, review case 8): a host that started after
    # the last primary was lost promoted a replica that lagged since before. A
    # position of a term that never took effect proves nothing.
    Given a group whose primary is p
    And the last recorded lead is that of <leader>, from <begin> in a term after <term>
    And member a has received up to 1.10
    And member b has received up to <received>
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | leader | begin | term | received | promoted |
      | p      | 1.20  | 1    | 1.12     | none     |
      | p      | 1.20  | 1    | 1.20     | b        |
      | p      | 1.20  | 1    | 2.21     | b        |
      | p      | 1.20  | 2    | 2.21     | none     |
      | p      | 1.20  | 2    | 3.21     | b        |
      | b      | 1.20  | 1    | 1.12     | none     |
      | b      | 1.20  | 1    | 1.20     | b        |
      | gone   | 1.20  | 1    | 1.20     | none     |

  Scenario Outline: a host without the store needs to have seen the last primary
    # Guards against lost commits (LOST) by a host that started after a primary
    # was lost and cannot read what its lead began with.
    Given a group whose primary is p
    And the store is silent, so that the last recorded lead is not known
    And the host <saw> member p lead
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | saw       | promoted |
      | saw       | b        |
      | never saw | none     |

  Scenario Outline: a member that is behind another one is not promoted
    # Guards against lost commits (LOST, issue 47): the record of a lead that began in an
    # earlier term than it allows made a former primary look like the only member that
    # has its begin, and the members that had all commits since were passed over.
    Given a group whose primary is p
    And the last recorded lead is that of p, from 1.16 in a term after <term>
    And member a has received up to <a>
    And member b has received up to 1.19
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | term | a    | promoted |
      | 2    | 2.17 | none     |
      | 1    | 2.17 | a        |
      | 2    | 1.18 | b        |
      | 2    | 3.17 | a        |

  Scenario: a lead is recorded before it begins
    # Guards against a lead that no host which starts later learns of.
    Given a group whose primary is p
    And member b has received up to 1.12
    And the members p are silent
    When a host replaces the lost primary
    Then the lead of b from 1.12 in a term after 1 was recorded

  Scenario: a term that the recorded primary may have led is not led again
    # Guards against a returning primary of that term whose log is taken for one
    # of the next.
    Given a group whose primary is p
    And the last recorded lead is that of p, from 1.10 in a term after 1
    And member b has received up to 1.12
    And the members p are silent
    When a host replaces the lost primary
    Then the lead of b from 1.12 in a term after 2 was recorded

  Scenario Outline: the bound of a lead counts no term that did not begin
    # Guards against a group that nobody may lead any more (promotion_not_safe with nobody
    # silent, issue 47): the bound of each lead was one term too high after a recorded
    # lead that had not begun, so that no log counted as one of its term.
    Given a group whose primary is p
    And the last recorded lead is that of p, from 1.10 in a term after 1
    And it is known to have begun in term <begun>
    And member b has received up to 1.12
    And the members p are silent
    When a host replaces the lost primary
    Then the lead of b from 1.12 in a term after <bound> was recorded

    Examples:
      | begun | bound |
      | 1     | 1     |
      | 2     | 2     |

  Scenario: the term of a lead is recorded once its member leads
    # Guards against the same beside the next change.
    Given a group whose primary is p
    And the last recorded lead is that of p, from 1.10 in a term after 3
    And member b has received up to 1.12
    And the members p are silent
    When a host replaces the lost primary
    Then the lead of b from 1.12 in a term after 4 was recorded
    And it was recorded that b leads term 2 and none before it but term 1

  Scenario Outline: a lead that could not be recorded
    # Guards against a promotion by a host whose claim was followed by another
    # one, and against a group without a primary while the store is silent.
    Given a group whose primary is p
    And recording a lead gives <result>
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | result     | promoted |
      | superseded | none     |
      | unknown    | b        |

  Scenario Outline: a host that started just now may not know all members
    # Guards against lost commits (LOST in the live test, seeds 12, 404 and
    # 907): the registration of the third member had expired when the host
    # started.
    Given a group whose primary is p
    And the registration of member a has lapsed
    And member a is no longer a recorded witness
    And the host <age>
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | age              | promoted |
      | started just now | none     |
      | runs for long    | b        |
