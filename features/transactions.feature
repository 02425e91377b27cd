Feature: transactions
  Interactive transactions on real processes: 3 hosts, one group of three
  members, replication lag of 20 ms. The end of idle transactions, after 30 s,
  is tested on virtual time in terms.feature.

  # Guards against transactions that depend on the entry host, and against
  # statements of one transaction that run in another.
  Scenario: transactions run through any host and never mix
    Given transactions deployment of 3 hosts
    And transactions "one" is open
    When transactions "one" runs the row "one-a" through host 1
    And transactions "one" runs the row "one-b" through host 2
    Then transactions row "one-a" exists 0 times
    When transactions "two" begins meanwhile
    And transactions "one" ends with "commit" through host 0
    And transactions "two" has begun
    And transactions "two" runs the row "two-a" through host 0
    And transactions "two" runs the row "two-b" through host 1
    And transactions "two" ends with "rollback" through host 2
    Then transactions row "one-a" exists 1 times
    And transactions row "one-b" exists 1 times
    And transactions row "two-a" exists 0 times
    And transactions row "two-b" exists 0 times
    And transactions "statements" of the ended "one" is "no_transaction"
    # A commit whose answer was lost may be repeated.
    And transactions "commit" of the ended "one" is "completed"
    And transactions "commit" of the ended "two" is "request_cancelled"

  # Guards against an unknown outcome where nothing was sent, and against a
  # commit after the refusal.
  Scenario: transactions of a killed holder are refused before the commit
    Given transactions deployment of 3 hosts
    And transactions "one" is open
    When transactions "one" runs the row "one-a" through host 1
    And transactions holder is killed
    Then transactions commit of "one" is "refused"
    And transactions group is served by another holder
    And transactions settling "one" gives "refused"
    And transactions row "one-a" exists 0 times

  # Guards against an unknown commit that is reported as refused or that can't
  # be settled, both where it did not run and where it did.
  Scenario Outline: transactions of a holder killed at the commit are settled
    Given transactions deployment of 3 hosts
    And transactions "one" is open
    When transactions "one" runs the row "one-a" through host 1
    And transactions holder is killed while the commit <state>
    Then transactions commit of "one" was "unknown"
    And transactions commit of "one" is "<settled>"
    And transactions group is served by another holder
    And transactions settling "one" gives "<settled>"
    And transactions row "one-a" exists <count> times

    Examples:
      | state                      | settled   | count |
      | has not reached it         | refused   | 0     |
      | is not replicated anywhere | completed | 1     |

  # Guards against statements that run in another transaction of one holder. The
  # member stand-in opens one at a time, so this runs on fakes.
  Scenario: transactions open at one time are kept apart
    Given transactions terms with "one" and "two" open
    When transactions terms run "one-a" in "one"
    And transactions terms run "two-a" in "two"
    And transactions terms run "one-b" in "one"
    And transactions terms commit "one" and roll back "two"
    Then transactions terms hold "one-a" 1 times
    And transactions terms hold "one-b" 1 times
    And transactions terms hold "two-a" 0 times
