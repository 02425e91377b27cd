Feature: Commits are acknowledged once they survive a change of primary
  A change of primary pauses every replica that has been registered for a while,
  and promotes the most advanced one. A commit that such a replica has is kept.

  # Guards against acknowledged commits that only a leaving replica has (review/1),
  # or one that the hosts elsewhere do not know (review/3): a promotion loses them.
  Scenario Outline: a commit is acknowledged only if a witness has it
    Given a session on a group whose primary is p
    And its members acknowledge a commit once a replica has it
    And the commits of p reach replica a, which is <a>, and replica b, which is <b>
    When the caller sends <statements>
    Then the last reply is <reply>

    Examples:
      | a                  | b       | statements           | reply   |
      | up to date         | behind  | write                | success |
      | up to date         | silent  | write                | success |
      | behind             | behind  | write                | unknown |
      | leaving            | behind  | write                | unknown |
      | registered 1 s ago | behind  | write                | unknown |
      | registered 8 s ago | behind  | write                | success |
      | unlisted           | behind  | write                | unknown |
      | leaving            | behind  | begin, write, commit | unknown |
      | up to date         | behind  | begin, write, commit | success |
      | behind             | behind  | begin, read, commit  | success |
      | late by 50 ms      | behind  | write                | success |

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
