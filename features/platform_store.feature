Feature: The users' table store
  What lasts lies in the store: claims with their fencing tokens, announcements
  of hosts, the configuration and registrations. The adapter meets a stand-in
  that is down, silent, loses answers, applies writes late and forgets.

  Scenario: one host at a time holds the claim of a group
    Given a table store and the hosts a and b
    When host a claims the group
    And host b claims the group
    Then the claims are held, taken
    When host a releases the group
    And host b claims the group
    Then the claims are held, taken, held
    And each token is higher than those before

  Scenario Outline: a claim lapses when its holder is silent
    Given a table store and the hosts a and b
    When host a claims the group
    And <age_ms> ms pass on the store's clock
    And host b claims the group
    Then the claims are held, <second>

    Examples:
      | age_ms | second |
      | 1000   | taken  |
      | 3000   | held   |
      | 20000  | held   |

  Scenario Outline: a claim while the store misbehaves is not held
    # A host that took an unanswered claim for held could act beside another.
    Given a table store and the hosts a and b
    When the table store <fault>
    And host a claims the group
    Then the claims are unknown

    Examples:
      | fault         |
      | refuses       |
      | silent        |
      | loses_answers |
      | applies_late  |

  Scenario: a claim that is applied late does not displace a newer one
    Given a table store and the hosts a and b
    When the table store applies_late
    And host a claims the group
    And the table store is well
    And host b claims the group
    And the late call is applied
    And host a claims the group
    Then the claims are unknown, held, taken

  Scenario: hosts reserve different tokens
    Given a table store and the hosts a and b
    Then host a and host b reserve different tokens

  Scenario: hosts find each other by their announcements
    Given a table store and the hosts a and b
    When host a announces itself
    And host b announces itself
    Then host b knows a
    When 120000 ms pass on the store's clock
    And host b announces itself
    And host b announces itself
    Then host b knows b

  Scenario Outline: announcements that name no host are left out
    Given a table store and the hosts a and b
    And the announcement of x is <content>
    When host b announces itself
    Then host b knows nobody

    Examples:
      | content                                  |
      | no JSON                                  |
      | {"address": "1"}                         |
      | []                                       |

  Scenario Outline: announcements while the store misbehaves
    Given a table store and the hosts a and b
    When the table store <fault>
    And host a announces itself
    Then host a learns that the store is unavailable

    Examples:
      | fault   |
      | refuses |
      | silent  |

  Scenario: a configuration is read and followed
    Given a table store and the hosts a and b
    When the operator writes version 3
    Then the follower reads version 3
    When the operator writes version 7
    Then the follower hears of version 7
    When the table store forgets its history
    Then the follower has to read again

  Scenario: registrations of members, also of other writers
    Given a table store and the hosts a and b
    When member m1 registers as ready
    And member m2 registers as asleep
    And member m3 registers as draining
    And member m1 vanishes
    Then the registered members are m3
