Feature: Entries that other programs wrote
  Other programs write to the tables that hosts read, and may send anything to a
  host. One odd entry names nothing to use, and the others hold.

  # Guards against hosts that stop to follow the members, or end, after another
  # program left one odd entry among them.
  Scenario Outline: one odd registration leaves the others in use
    Given a table store with the registrations of members m1 and m2
    When another program registers m3 with <content>
    And the registrations are polled twice, with m4 registered in between
    Then the known members are m1, m2, m4

    Examples:
      | content                                  |
      | 100000 nested lists                      |
      | a service of 100000 nested lists         |
      | an integer of 5000 digits                |
      | a number that is infinite                |
      | a port of 5000 digits                    |
      | the port 99999                           |
      | the port 0                               |
      | a port of digits that are not ASCII      |
      | a host name for its address              |
      | a service with half a character          |
      | a service with a line end                |
      | a service that no configuration names    |
      | bytes that are not UTF-8                 |

  # Guards against a decoder that raises on some content: the exception would end
  # the task that follows the table.
  Scenario Outline: decoders return a fault for every content
    Then the <decoder> decoder raises for no content

    Examples:
      | decoder       |
      | registration  |
      | configuration |
      | claim         |
      | announcement  |
      | store answer  |
      | position      |
      | status        |

  # Guards against a claim that blocks every change of a group: one that is no
  # claim, or that claims a time to come.
  Scenario Outline: an odd claim does not keep hosts from a change
    Given a table store and the hosts a and b
    When another program writes <content> as the claim of the group
    And host a claims the group
    Then the claims are held

    Examples:
      | content                                       |
      | [[]]                                          |
      | no JSON                                       |
      | {"holder": 7, "claimed_ms": "x"}              |
      | {"holder": "b", "claimed_ms": 99999999999999} |

  # Guards against a host that goes on without one of its tasks, with members or
  # routes that no longer change.
  Scenario: a task goes on after an unexpected error
    When a supervised task fails 3 times and then runs
    Then it was started 4 times and is still running

  # Guards against a connection that counts as open forever after an unexpected
  # error, until no further one may be opened.
  Scenario: an unexpected error of a dial frees its place
    Given a pool of one connection whose dialer fails unexpectedly once
    When a connection is borrowed twice
    Then the second borrower gets a connection

  # Guards against a member that is asked at its former address forever.
  Scenario: a member that starts again at another address is reached there
    Given a directory with member m1 at 127.0.0.1:1
    When m1 registers at 127.0.0.1:2
    Then connections to m1 are opened to 127.0.0.1:2

  # Guards against a request of another host that keeps its connection waiting
  # because decoding its body raised.
  Scenario Outline: an odd body of another host is answered
    Given a host that answers other hosts
    When another host sends <content> to it
    Then the host answers 400

    Examples:
      | content             |
      | 100000 nested lists |
      | a list              |
      | an odd deadline     |
