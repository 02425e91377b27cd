Feature: transactions
  Interactive transactions on real processes: 3 hosts and one group of three
  members with a replication lag of 20 ms. The abort of transactions that are
  idle for 30 s is tested on virtual time in terms.feature.

  # Guards against transactions that depend on one entry host, and against
  # statements of one transaction that run in another.
  Scenario: transactions run through any host and stay separate
    Given transactions deployment of 3 hosts
    And transactions "one" is open
    When transactions "one" runs the row "one-a" through host 1
    And transactions "one" runs the row "one-b" through host 2
    Then transactions row "one-a" exists 0 times
    When transactions "two" begins in the background
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
    # A caller may repeat a commit whose answer was lost.
    And transactions "commit" of the ended "one" is "completed"
    And transactions "commit" of the ended "two" is "request_cancelled"

  # Guards against an unknown outcome although the commit was not sent, and
  # against a commit that takes effect after it was refused.
  Scenario: transactions of a holder killed before the commit are refused
    Given transactions deployment of 3 hosts
    And transactions "one" is open
    When transactions "one" runs the row "one-a" through host 1
    And transactions holder is killed
    Then transactions commit of "one" is "refused"
    And transactions group is served by another holder
    And transactions settling "one" gives "refused"
    And transactions row "one-a" exists 0 times

  # Guards against a commit of unknown outcome that is reported as refused or
  # that cannot be settled, whether it took effect or not.
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
  # member stand-in opens one transaction at a time, so this test uses fakes.
  Scenario: transactions that are open at the same time stay separate
    Given transactions terms with "one" and "two" open
    When transactions terms run "one-a" in "one"
    And transactions terms run "two-a" in "two"
    And transactions terms run "one-b" in "one"
    And transactions terms commit "one" and roll back "two"
    Then transactions terms hold "one-a" 1 times
    And transactions terms hold "one-b" 1 times
    And transactions terms hold "two-a" 0 times
