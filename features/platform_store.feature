Feature: The platform's table store
  The store persists claims with their fencing tokens, announcements of hosts,
  the configuration and registrations. The adapter is tested against a stand-in
  that refuses calls, does not answer, loses answers, applies writes late and
  truncates its history.

  Scenario: only one host at a time holds the claim on a group
    Given a table store and the hosts a and b
    When host a claims the group
    And host b claims the group
    Then the claims are held, taken
    When host a releases the group
    And host b claims the group
    Then the claims are held, taken, held
    And each token is higher than all earlier tokens

  Scenario Outline: a claim expires when its holder does not release it
    Given a table store and the hosts a and b
    When host a claims the group
    And <age_ms> ms pass on the store's clock
    And host b claims the group
    Then the claims are held, <second>

    Examples:
      | age_ms | second |
      | 1000   | taken  |
      | 3500   | taken  |
      | 4500   | held   |
      | 20000  | held   |

  Scenario Outline: a claim is not held if the store does not confirm it
    # Guards against two hosts that act on one group at the same time: a host
    # that treats an unconfirmed claim as held may act beside the real holder.
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

  Scenario: a claim that is applied late does not replace a newer claim
    Given a table store and the hosts a and b
    When the table store applies_late
    And host a claims the group
    And the table store works again
    And host b claims the group
    And the delayed write is applied
    And host a claims the group
    Then the claims are unknown, held, taken

  # Guards against lost commits (LOST): a host that starts after a primary was lost
  # learns only from the store what its lead began with.
  Scenario: a recorded lead reaches each later claim
    Given a table store and the hosts a and b
    When host a claims the group
    Then the last claim has no lead
    When host a records the lead of m1 from 2.7
    And host a releases the group
    And host b claims the group
    Then the last claim has the lead of m1 from 2.7
    When host b releases the group
    And host a claims the group
    Then the last claim has the lead of m1 from 2.7

  # Guards against a host that promotes after another one has claimed the group.
  Scenario Outline: a lead is recorded under the newest claim only
    Given a table store and the hosts a and b
    When host a claims the group
    And <age_ms> ms pass on the store's clock
    And host b claims the group
    And host a records the lead of m1 from 2.7
    Then recording the lead gave <result>

    Examples:
      | age_ms | result     |
      | 1000   | recorded   |
      | 4500   | superseded |

  # Guards against lost commits: a change that does not read the witnesses that
  # another host recorded does not ask them.
  Scenario: recorded witnesses reach each later claim
    Given a table store and the hosts a and b
    When host b records the witnesses m1,m2
    And host a claims the group
    And host a records the lead of m1 from 2.7
    And host a releases the group
    And host b claims the group
    Then the last claim has the witnesses m1,m2
    And the last claim has the lead of m1 from 2.7

  # Guards against a change of primary that does not know a witness which joined
  # meanwhile.
  Scenario Outline: witnesses are recorded only in a row that is as it was read
    Given a table store and the hosts a and b
    When host b reads the record
    And <event>
    And host b records the witnesses m1,m2 in what it read
    Then the witnesses are <result>

    Examples:
      | event                           | result       |
      | 1 ms pass on the store's clock  | recorded     |
      | host a claims the group         | not recorded |
      | host a records the witnesses m1 | not recorded |

  # Guards against members that join while a call may still be carried out, and
  # against a lead of another host that is taken for withdrawn.
  Scenario Outline: a lead is withdrawn by the host that holds the claim
    Given a table store and the hosts a and b
    When host a claims the group
    And host a records the lead of m1 from 2.7
    And host a releases the group
    And host a claims the group
    And <event>
    And host a withdraws the lead of its last claim
    Then the lead in the record is <result>

    Examples:
      | event                             | result        |
      | 1000 ms pass on the store's clock | withdrawn     |
      | 5000 ms pass on the store's clock | not withdrawn |


  # Guards against a call that a later host takes for one that was never made, and
  # against calls that count for ever (issue 47).
  Scenario: recorded calls reach each later read until the lead is settled
    Given a table store and the hosts a and b
    When host a claims the group
    And host a records the lead of m1 from 2.7
    And host b reads the record
    Then the calls in the record name m1
    When host a releases the group
    And host b claims the group
    And host b records a call for m9
    And host b records the witnesses m1,m2
    And host a reads the record
    Then the calls in the record name m1,m9
    When host b withdraws the lead of its last claim
    And host a reads the record
    Then the calls in the record name nobody

  # Guards against commits that a primary acknowledges through a replica whose pause was ended
  # late by an earlier request (LOST, issue 47).
  Scenario Outline: requests to resume reach each later claim
    Given a table store and the hosts a and b
    When host a claims the group
    And host a records requests to resume m1,m2
    And host a forgets its requests to resume m2
    And <event>
    And host b claims the group
    Then the last claim has requests to resume <names>

    Examples:
      | event                                           | names |
      | host a releases the group                       | m1    |
      | 5000 ms pass on the store's clock               | m1    |
      | 26000 ms pass on the store's clock              | none  |

  # Guards against an answer to a later request that hides an earlier one without an answer.
  Scenario: a later request that was answered leaves an earlier one recorded
    Given a table store and the hosts a and b
    When host a claims the group
    And host a records requests to resume m1
    And 1000 ms pass on the store's clock
    And host a claims the group
    And host a records requests to resume m1,m2
    And host a forgets its requests to resume m1,m2
    And host a releases the group
    And host b claims the group
    Then the last claim has requests to resume m1

  # Guards against the answer to a request that the store did not record, which removes an
  # earlier one that got no answer.
  Scenario Outline: an answer to an unrecorded request leaves an earlier one recorded
    Given a table store and the hosts a and b
    When host a claims the group
    And <earlier>
    And the table store silent
    And host a records requests to resume m1
    And the table store works again
    And host a forgets its requests to resume m1
    And host a releases the group
    And host b claims the group
    Then the last claim has requests to resume <names>

    Examples:
      | earlier                                | names |
      | host a records requests to resume m1   | m1    |
      | 1 ms pass on the store's clock         | none  |

  # Guards against requests that another host, which has claimed since, does not know of.
  Scenario: requests to resume are recorded under a claim that is held
    Given a table store and the hosts a and b
    When host a claims the group
    And 4500 ms pass on the store's clock
    And host b claims the group
    And host a records requests to resume m1
    Then recording the lead gave superseded

  Scenario: a lead is not known to be recorded while the store is silent
    Given a table store and the hosts a and b
    When host a claims the group
    And the table store silent
    And host a records the lead of m1 from 2.7
    Then recording the lead gave unknown

  Scenario: hosts reserve different tokens
    Given a table store and the hosts a and b
    Then host a and host b reserve different tokens

  Scenario: hosts discover each other by their announcements
    Given a table store and the hosts a and b
    When host a announces itself
    And host b announces itself
    Then host b knows a
    When 120000 ms pass on the store's clock
    And host b announces itself
    And host b announces itself
    Then host b knows b

  Scenario Outline: announcements that cannot be decoded are ignored
    Given a table store and the hosts a and b
    And the announcement of x is <content>
    When host b announces itself
    Then host b knows nobody

    Examples:
      | content                                  |
      | no JSON                                  |
      | {"address": "1"}                         |
      | []                                       |

  Scenario Outline: announcements while the store is unavailable
    Given a table store and the hosts a and b
    When the table store <fault>
    And host a announces itself
    Then host a learns that the store is unavailable

    Examples:
      | fault   |
      | refuses |
      | silent  |

  Scenario: a configuration is read, and its changes are followed
    Given a table store and the hosts a and b
    When the operator writes version 3
    Then the follower reads version 3
    When the operator writes version 7
    Then the follower is notified of version 7
    When the table store truncates its history
    Then the follower has to read the whole configuration again

  # Guards against configurations that never arrive on a slow link (CONFIG): a
  # transfer that was under way counted as a store that does not answer.
  Scenario Outline: a configuration that arrives slowly is read
    Given a store that begins to answer after <begin_ms> ms and takes <transfer_ms> ms
    Then the <call> of the configuration gives <result>

    Examples:
      | begin_ms | transfer_ms | call | result    |
      | 100      | 1500        | read | version 3 |
      | 100      | 1500        | feed | version 3 |
      | 1500     | 0           | read | nothing   |
      | 100      | 6000        | read | nothing   |

  # Guards against configurations that come late on many hosts (CONFIG): a reader
  # told the hosts that rely on it of a large configuration only once it had all
  # of it, and then their own transfers began.
  Scenario Outline: hosts that rely on a reader read a large configuration beside it
    Given a store that takes 1500 ms for <bytes> bytes
    When a reader has read its configuration for 700 ms
    Then the hosts that rely on the reader <follow>

    Examples:
      | bytes  | follow               |
      | 200000 | read the store       |
      | 20000  | go on to rely on it  |

  Scenario: registrations of members, including invalid and removed ones
    Given a table store and the hosts a and b
    When member m1 registers as ready
    And member m2 registers as asleep
    And member m3 registers as draining
    And the registration of member m1 is removed
    Then the registered members are m3
