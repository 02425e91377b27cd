Feature: The record of a group names the processes that witness its commits
  Commits are acknowledged, and primaries replaced, by the witnesses in the record
  that the store keeps, whatever a host has seen by itself.

  # Guards against acknowledged commits that only a member has that a promoting host
  # does not know: it joined a moment before the acknowledging host started.
  Scenario Outline: a host that starts witnesses commits by the record alone
    Given a group whose primary is p
    And a host that has just started, with a record of <recorded>
    Then the witnesses of p are <witnesses>

    Examples:
      | recorded | witnesses |
      | p,a,b    | a,b       |
      | p,a      | a         |
      | nobody   | none      |

  # Guards against a promotion that does not pause a witness, as it is carried out
  # late, or as the registrations of its host are older than the witness.
  Scenario Outline: a member joins the record once every change knows it
    Given a group whose primary is p
    And member d has been listed for <listed_s> s
    And <state>
    When the record is brought up to date
    Then the recorded witnesses are <recorded>

    Examples:
      | listed_s | state                                        | recorded  |
      | 8        | all members answer                           | a,b,d,p   |
      | 8        | the members a are silent                     | a,b,d,p   |
      | 6        | all members answer                           | unchanged |
      | 8        | members a and b are paused                   | unchanged |
      | 8        | member b is paused                           | unchanged |
      | 8        | the members a,b are silent                   | unchanged |
      | 8        | the members d are silent                     | unchanged |
      | 8        | the members p are silent                     | unchanged |
      | 8        | another host claims the group                | unchanged |
      | 8        | the recorded lead of b has not begun         | unchanged |
      | 8        | the recorded lead of p has begun             | a,b,d,p   |
      | 8        | the store does not answer                    | unchanged |

  # Guards against a lead whose term the next change has to guess, as the host that called
  # for it did not see it begin.
  Scenario: the term of a lead that began late is recorded
    Given a group whose primary is p
    And member d has been listed for 6 s
    And the recorded lead of p has begun
    When the record is brought up to date
    Then the recorded lead is that of p
    And its recorded term is 1

  # Guards against lost commits that only a replica had which left, or which started
  # again without its log (review/9).
  Scenario Outline: a process leaves the record once another witness has its commits
    Given a group whose primary is p
    And member p has received up to 1.12
    And member b has received up to <b>
    And member a has <end>
    When the record is brought up to date
    Then the recorded witnesses are <recorded>

    Examples:
      | b    | end                               | recorded  |
      | 1.12 | left                              | b,p       |
      | 1.11 | left                              | unchanged |
      | 1.12 | started again with its log        | a*,b,p    |
      | 1.12 | started again without its log     | a*,b,p    |
      | 1.11 | started again without its log     | unchanged |
      | 1.11 | started again with its log        | a*,b,p    |
      | 1.12 | been unlisted for 1 s             | unchanged |
      | 1.12 | lapsed before this host started   | unchanged |
      | 1.12 | crashed, and d took its address   | b,p       |
      | 1.11 | crashed, and d took its address   | unchanged |

  # Guards against a group that never acknowledges a commit.
  Scenario Outline: the first witnesses are recorded at once
    Given a group whose primary is p
    And a host that has just started, with a record of nobody
    And <state>
    When the record is brought up to date
    Then the recorded witnesses are <recorded>

    Examples:
      | state                                | recorded  |
      | all members answer                   | a,b,p     |
      | the registration of member a has lapsed | unchanged |

  # Guards against a member that is promoted without the commits of a witness that
  # started again without its log (LOST, review/9): it answers, and the primary,
  # which has them, comes back.
  Scenario Outline: a member that started again does not answer for its former process
    Given a group whose primary is p
    And the host saw member p lead
    And member a has started again <log>
    And the members p are silent
    And member p is <listing>
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | log             | listing             | promoted |
      | without its log | listed              | none     |
      | with its log    | listed              | none     |
      | without its log | absent for 21 s     | b        |

  # Guards against a group without a primary: one that started again without its log
  # answers as a replica, and nobody can wait for what it had.
  Scenario: a primary that started again without its log is replaced
    Given a group whose primary is p
    And the host saw member p lead
    And member p has started again without its log
    When a host replaces the lost primary
    Then the promoted member is b

  # Guards against commits that the primary acknowledges through resumed replicas
  # after its replacement was accepted, and before it leads (LOST): the fence stops
  # later calls only.
  Scenario Outline: replicas are resumed after accepted promotion calls took effect
    Given a group whose primary is p
    And the last recorded lead is that of b, from 1.10 in a term after 1
    And members a and b are paused
    And an accepted call lets b lead <effect_ms> ms after the fence was raised
    When a host replaces the stalled primary
    Then member a is <state>
    And the recorded lead is that of <lead>

    Examples:
      | effect_ms | state   | lead            |
      | 300       | paused  | another member  |
      | 1200      | paused  | another member  |
      | 5000      | resumed | p               |

  # Guards against a primary that was replaced and is promoted again by the call that
  # is to raise the fence (LOST): it lacks what its successor acknowledged.
  Scenario: the fence is not raised with a member that leads no more
    Given a group whose primary is p
    And members a and b are paused
    And b leads when the host claims the group
    When a host replaces the stalled primary
    Then the promotion calls name none

  # Guards against a replica that stays paused, and a joined member that never becomes
  # a witness, while another replica witnesses all commits.
  Scenario Outline: a replica that was left paused is noticed
    Given a group whose primary is p
    And member d has been listed for 8 s
    And <state>
    When the record is brought up to date
    Then a replica <is> known to be left paused

    Examples:
      | state                         | is     |
      | member b is paused            | is     |
      | all members answer            | is not |
      | another host claims the group | is not |

  # Guards against a hand-over beside a change that another host left behind, whose
  # call may still be carried out (LOST).
  Scenario: a leaving primary does not hand over while replicas are paused
    Given a group whose primary is p
    And members a and b are paused
    When the leaving primary hands over
    Then the promotion calls name p
    And no member is paused

  # Guards against a primary that leaves with its log while a hand-over waits for a
  # witness that has ended (review/7, seed 4): the primary has what both had.
  Scenario Outline: a hand-over does not wait for a witness that has ended
    Given a group whose primary is p
    And member a has <end>
    When the leaving primary hands over
    Then the promoted member is <promoted>

    Examples:
      | end                             | promoted |
      | left 6 s ago                    | b        |
      | crashed, and d took its address | d        |
      | lapsed before this host started | none     |

  # Guards against an empty member that is promoted because all that have the log
  # are gone (LOST 55, review/7, seed 4): only an operator can decide that.
  Scenario Outline: a member without the begin of the recorded lead is not promoted
    Given a group whose primary is p
    And the last recorded lead is that of p, from 1.10 in a term after 1
    And the host saw member p lead
    And member a has received up to <a>
    And member b has received up to 0.0
    And the members p are silent
    And member p is absent for 30 s
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | a    | promoted |
      | 0.0  | none     |
      | 1.9  | none     |
      | 1.10 | a        |

  # Guards against a member that is promoted by a repeated call after it started again
  # without its log (LOST, seed 11020 of the explorer).
  Scenario: a call is not repeated for a member that started again
    Given a group whose primary is p
    And the host saw member p lead
    And the members p are silent
    And the call gets no answer, and b starts again without its log
    When a host replaces the lost primary
    Then the promotion calls name b

  # Guards against two members that lead one after the other (LOST): a call that was
  # accepted for one lets it acknowledge commits which the other lacks.
  Scenario Outline: beside a lead that may begin only its member is promoted
    Given a group whose primary is p
    And member d has been listed for 1 s
    And member d has received up to <d>
    And member b has received up to <b>
    And the last recorded lead is that of a, from 1.10 in a term after 1
    And the host saw member p lead
    And the members p are silent
    When a host replaces the lost primary
    Then the promoted member is <promoted>

    Examples:
      | d    | b    | promoted |
      | 1.10 | 1.10 | a        |
      | 1.12 | 1.10 | a        |
      | 1.12 | 1.11 | none     |

  # Guards against the same beside a leaving primary, whose replicas are not paused.
  Scenario: a leaving primary does not hand over beside a lead that may begin
    Given a group whose primary is p
    And the last recorded lead is that of a, from 1.10 in a term after 1
    When the leaving primary hands over
    Then the promotion calls name p

  # Guards against commits that are acknowledged by a process which started again
  # and so forgot its pause, before this host reads that it did (LOST).
  Scenario Outline: answers count for the process that registered
    Given a process whose registration was read at <read_s> s
    And a connection to it was lost at <lost_s> s
    Then answers on a connection opened at <opened_s> s are <certainty>

    Examples:
      | read_s | lost_s  | opened_s | certainty |
      | 1      | never   | 2        | its own   |
      | 1      | 3       | 2        | its own   |
      | 1      | 3       | 4        | in doubt  |
      | 7.9    | 3       | 4        | in doubt  |
      | 8.1    | 3       | 4        | its own   |
      | 1      | unknown | 2        | in doubt  |
      | 6.1    | unknown | 2        | its own   |
      | 1      | -inf    | 2        | in doubt  |

  # Guards against commits that end as unknown because one of several connections
  # closed: the others, from before the last answer of the process, lead to it.
  Scenario Outline: an answer shows which connections lead to the process
    Given a process whose registration was read at 1 s
    And a connection to it, opened at 1 s, answered a request that was sent at 5 s
    And another connection, which was last used at 3 s, is lost at 6 s
    And the first connection answers a request that was sent at <sent_s> s
    Then answers on a connection opened at <opened_s> s are <certainty>

    Examples:
      | sent_s | opened_s | certainty |
      | 5      | 4        | its own   |
      | 5      | 5.5      | in doubt  |
      | 5.9    | 5.5      | its own   |
      | 5.9    | 6.5      | in doubt  |
      | 7      | 6.5      | its own   |

  # Guards against answers of another process that end the doubt about it.
  Scenario: an answer on a connection in doubt shows nothing
    Given a process whose registration was read at 1 s
    And a connection to it, opened at 1 s, answered a request that was sent at 5 s
    And another connection, which was last used at 3 s, is lost at 6 s
    And a connection that was opened at 6.5 s answers a request that was sent at 7 s
    Then answers on a connection opened at 6.5 s are in doubt

  # Guards against a primary that is taken for settled while a recorded call may put another
  # member in the lead, and against one that is never settled (issue 47).
  Scenario Outline: the calls that were recorded tell whether another member may lead
    Given a recorded lead of <lead>, and calls that named <calls>
    Then beside the primary <primary>, a change is <state>

    Examples:
      | lead   | calls | primary | state       |
      | nobody | none  | a       | not pending |
      | nobody | a     | a       | not pending |
      | nobody | a     | b       | pending     |
      | a      | none  | a       | not pending |
      | b      | b     | a       | pending     |
      | b      | b     | b       | not pending |
      | b      | b,a   | b       | pending     |
      | b      | a,b   | b       | not pending |
      | b      | b,a,b | b       | pending     |
      | c      | b,a,c | a       | pending     |

  # Guards against commits that are told though a late call may put another member in the
  # lead, which lacks them (LOST, issue 47), and against reads of the store for each commit.
  Scenario Outline: the commits of a term are told once its primary is settled
    Given a group whose primary is p
    And a recorded lead of p, and calls that named <calls>
    And the store <answers>
    Then a commit of term 2 is <first>
    And after the calls are forgotten, one of term 2 is told
    And the record was read <count> times

    Examples:
      | calls | answers         | first    | count |
      | p     | answers         | told     | 1     |
      | p,a   | answers         | not told | 2     |
      | p,a   | is out of reach | told     | 0     |

  # Guards against a fence that is raised by a call which no host learns of.
  Scenario Outline: a call that raises the fence is recorded before it is made
    Given a group whose primary is p
    And members a and b are paused
    And recording a lead gives <result>
    When a host replaces the stalled primary
    Then a call that names p was recorded
    And the promotion calls name <called>

    Examples:
      | result     | called |
      | recorded   | p      |
      | unknown    | p      |
      | superseded | none   |

  # Guards against a log of another primary, which led before and lacks the begin, and
  # against logs of the lead itself that are passed over (issue 47).
  Scenario Outline: a log has the begin of a lead whose term is known
    Given a recorded lead of a, and calls that named none
    And it is found that this lead began in term <term>
    Then a log up to <received> <has> its begin

    Examples:
      | term | received | has   |
      | 2    | 1.9      | lacks |
      | 2    | 1.10     | has   |
      | 2    | 2.1      | has   |
      | 3    | 2.12     | lacks |
      | 3    | 3.12     | has   |
      | 1    | 1.9      | lacks |
      | 1    | 1.11     | has   |
