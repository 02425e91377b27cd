Feature: Commits are acknowledged once they survive a change of primary
  A change of primary pauses every replica that has been registered for a while,
  and promotes the most advanced one. A commit that such a replica has is kept.

  # Guards against acknowledged commits that only a leaving replica has (review/1),
  # or one that the hosts elsewhere do not know (review/3): a promotion loses them.
  Scenario Outline: a commit is acknowledged only if a witness has it
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    When the caller sends <statements>
    Then the last reply is <reply>

    Examples:
      | a                  | b       | statements           | reply   |
      | up to date         | behind  | write                | success |
      | up to date         | silent  | write                | success |
      | behind             | behind  | write                | unknown |
      | leaving            | behind  | write                | unknown |
      | not recorded       | behind  | write                | unknown |
      | started again      | behind  | write                | unknown |
      | reconnected        | behind  | write                | unknown |
      | unlisted           | behind  | write                | unknown |
      | leaving            | behind  | begin, write, commit | unknown |
      | up to date         | behind  | begin, write, commit | success |
      | behind             | behind  | begin, read, commit  | success |
      | late by 50 ms      | behind  | write                | success |

  # Guards against a write whose outcome is unknown though it was known before that
  # no replica could keep it.
  Scenario Outline: a write that nobody could witness is refused before it runs
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    When the caller sends write
    Then the last reply is not_run
    And no member ran a write

    Examples:
      | a            | b             |
      | leaving      | leaving       |
      | not recorded | unlisted      |
      | leaving      | started again |

  # Guards against acknowledged commits that were rolled back: a replica in a newer
  # term has those up to where that term began, whatever its position (review/6).
  Scenario Outline: a commit of a former term is not confirmed by a newer term
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    When the caller sends <statements>
    Then the last reply is <reply>

    Examples:
      | a               | b               | statements           | reply   |
      | in a newer term | leaving         | write                | unknown |
      | in a newer term | in a newer term | write                | unknown |
      | in a newer term | leaving         | begin, write, commit | unknown |
      | in a newer term | up to date      | write                | success |

  # Guards against a caller that waits until its deadline for a proof that cannot
  # come any more.
  Scenario: the outcome is reported as unknown once a newer term began
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is in a newer term, and replica b, which is leaving
    When the caller sends write
    Then the last reply is unknown
    And the reply took less than 1000 ms

  # Guards against acknowledged commits that only a member has that this host does
  # not know yet: a replica that is paused or cut off from the primary answers this
  # host, and receives nothing (review/6).
  Scenario Outline: contact with the witnesses does not replace their proof
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    And the replicas answered <contact_ms> ms ago and the registry <registry_s> s ago
    When the caller sends <statements>
    Then the last reply is <reply>
    And the replicas were asked

    Examples:
      | a                  | b          | contact_ms | registry_s | statements           | reply   |
      | behind             | behind     | 20         | 1          | write                | unknown |
      | behind             | behind     | 20         | 1          | begin, write, commit | unknown |
      | behind             | up to date | 20         | 1          | write                | success |
      | up to date         | up to date | 20         | 1          | write                | success |
      | up to date         | up to date | 300        | 1          | write                | success |
      | up to date         | up to date | 20         | 4          | write                | success |
      | leaving            | up to date | 20         | 1          | write                | success |
      | not recorded       | up to date | 20         | 1          | write                | success |

  # Guards against reads that wait for the slots of replicas, and against writes that
  # are held back as long as a replica needs to apply them.
  Scenario Outline: witnesses are asked for slots only if they apply late
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    When the caller sends write
    Then the last reply is success
    And the reply took less than 1000 ms
    And slots of the replicas were <used>

    Examples:
      | a             | b          | used     |
      | up to date    | up to date | not used |
      | behind        | up to date | not used |
      | late to apply | behind     | used     |

  # Guards against a primary that vouches for its own commit: found at another
  # address, it is another object than the one that made the commit.
  Scenario: a primary that is found again is no witness of its own commits
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And its statements may take 1500 ms
    And the commits of p reach replica a, which is behind, and replica b, which is behind
    And p is found at another address 50 ms later
    When the caller sends write
    Then the last reply is unknown

  # Guards against writes that fail where members acknowledge without a replica.
  Scenario: a group without synchronous replicas needs no witness
    Given a session on a group whose primary is p
    And the commits of p reach replica a, which is behind, and replica b, which is behind
    When the caller sends write
    Then the last reply is success

  # Guards against a promotion that does not pause a witness: a replica that
  # registered after this host last read the registrations.
  Scenario Outline: old registrations are not used for a promotion
    Given a group whose primary is p
    And the registrations were read <age_s> s ago and cannot be read now
    And the members p are silent
    When a host replaces the lost primary
    Then the promotion calls name <promoted>

    Examples:
      | age_s | promoted |
      | 1     | b        |
      | 5     | none     |

  # Guards against a silent replica that is taken for the primary, which has left
  # (review/2): it may be the only one that has acknowledged commits.
  Scenario Outline: a silent replica is not taken for the primary
    Given a group whose primary is p
    And p was seen to lead and <state>
    And the members <silent> are silent
    When a host replaces the lost primary
    Then the promotion calls name <promoted>

    Examples:
      | state                      | silent | promoted |
      | is still registered        | p      | b        |
      | is still registered        | b      | none     |
      | has left, and c has joined | p,c    | none     |
      | has left, and c has joined | p      | c        |

  # Guards against the loss of commits that only the primary has: it was their
  # witness before it was promoted, while the other replicas lagged behind.
  Scenario Outline: a replica that lacks what the primary began with is not promoted
    Given a group whose primary is p
    And p was first seen to lead at <start> and has commits of term <term>
    And member a has received up to <received>
    And member b has received up to <received>
    And the members p are silent
    When a host replaces the lost primary
    Then the promotion calls name <promoted>

    Examples:
      | start | term | received | promoted |
      | 1.12  | 2    | 1.10     | none     |
      | 1.12  | 2    | 1.12     | b        |
      | 2.20  | 2    | 1.15     | none     |
      | 1.12  | 2    | 2.13     | b        |
