Feature: Scheduling of one member's slots and connections
  The owner of a member schedules all work for its slots and connections. Faults
  here let long statements delay urgent requests, leave slots idle while
  requests wait, or leak a slot when a caller leaves.

  Scenario Outline: waiting work is served by class, then deadline
    Guards against urgent work that waits behind other classes, and against
    waiting work that is served in the order of arrival.
    Given a scheduler with 1 slots and 100 connections
    And scheduler work "<arrivals>" behind a running statement
    When the scheduler's slots are freed one by one
    Then the scheduler's order of service is "<order>"

    Examples: name, class and deadline in s
      | arrivals                            | order |
      | a/batch/9 b/interactive/9 c/urgent/9 | c b a |
      | a/urgent/9 b/urgent/3 c/urgent/5    | b c a |
      | a/batch/1 b/urgent/9                | b a   |
      | a/urgent/5 b/urgent/5               | a b   |

  Scenario Outline: long work leaves slots to short work
    Guards against long batch statements that occupy all slots, and against a
    long statement that never starts under a steady load of short work.
    Given a scheduler with <slots> slots and 100 connections
    When the scheduler gets the running work "<running>"
    And the scheduler gets work "<new>" that waits <waited> s
    Then the scheduler's work "<new>" <state>

    Examples:
      | slots | running       | new   | waited | state  |
      | 1     |               | long  | 0      | runs   |
      | 2     |               | long  | 0      | runs   |
      | 2     | short         | long  | 0      | runs   |
      | 2     | short         | short | 0      | runs   |
      | 2     | short short   | long  | 30     | waits  |
      | 2     | long          | long  | 0      | waits  |
      | 2     | long          | long  | 30     | waits  |
      | 2     | long          | short | 0      | runs   |
      | 3     | long          | long  | 0      | runs   |
      | 3     | long short    | long  | 0      | runs   |
      | 4     | long long long | long | 30     | waits  |
      | 4     | long long     | long  | 0      | runs   |
      | 3     | long long     | long  | 30     | waits  |

  Scenario: a statement is classified as long by the duration of its runs
    Guards against undeclared long statements that are treated as short.
    Given a scheduler with 2 slots and 100 connections
    When the scheduler observes runs of 5 ms and then 400 ms
    Then the scheduler expects 84 ms and classifies the statement as long
    And the scheduler's table of costs stays bounded

  Scenario Outline: connections are limited per host and for parked work
    Guards against one workspace, or parked transactions, taking all
    connections, and against a host that opens more than its share.
    Given a scheduler with <slots> slots and <limit> connections
    Then the scheduler holds at most <cap> connections and parks <parked>

    Examples:
      | slots | limit | cap | parked |
      | 2     | 16    | 7   | 5      |
      | 2     | 30    | 13  | 11     |
      | 2     | 7     | 3   | 1      |
      | 2     | 2     | 1   | 1      |
      | 1     | 1     | 1   | 1      |

  Scenario: a workspace at its limit does not delay other workspaces
    Guards against head-of-line blocking: work that its workspace limit holds
    back leaves a slot idle while work of other workspaces waits.
    Given a scheduler with 2 slots and 100 connections
    When the scheduler gets 3 statements of workspace "a" limited to 1
    And the scheduler gets 1 statements of workspace "b" limited to 1
    Then the scheduler runs workspaces "a b"
    And after the deadline the scheduler's refusals are "workspace_limit"

  Scenario Outline: work that can't start in time is refused at once
    Guards against callers that wait although their deadline will be missed, and
    against refusals of work that would have been served in time.
    Given a scheduler with 2 slots and 100 connections
    And the scheduler's statements cost 100 ms and <queued> urgent ones wait
    When the scheduler gets <work_class> work with <left> ms left
    Then the scheduler answers <verdict> with retry after <retry> ms

    Examples:
      | queued | work_class  | left | verdict    | retry |
      | 8      | urgent      | 101  | waiting    | 0     |
      | 8      | urgent      | 62.5 | overloaded | 38    |
      | 8      | interactive | 501  | waiting    | 0     |
      | 8      | interactive | 499  | overloaded | 1     |
      | 0      | urgent      | 0    | deadline_exceeded | 100 |

  Scenario: a full queue refuses its last work in favour of a higher class
    Guards against waiting batch work that blocks urgent work, and against a
    queue that grows without bound.
    Given a scheduler with 1 slots and a queue of 3
    And scheduler work "a/batch/9 b/batch/8 c/interactive/9" behind a running statement
    When the scheduler gets work "d/urgent/9 e/batch/1"
    Then the scheduler's refused work is "a e"
    And the scheduler's queue holds 3

  Scenario: a violated invariant of the scheduler raises a typed error
    Guards against invariant checks that never fail.
    Given a scheduler with 1 slots and 1 connections
    Then the scheduler raises when a second slot is taken
    And the scheduler raises when eligible work is left waiting

  Scenario: random sequences of operations agree with a model
    Guards against a wrong order of service, idle slots, exceeded limits and
    lost work. The model evaluates the rules by scans of plain lists.
    Then random scheduler operations agree with the model

  Scenario: batch work starts under continuous urgent work
    Guards against starvation of batch work.
    Then random urgent scheduler load lets batch work start after aging

  Scenario Outline: a cancelled caller releases its slot and connection
    Guards against leaks of slots and connections, and against a lost wake-up:
    the cancelled caller was granted the slot that the next caller waits for.
    Given an owner of a member with 1 slots
    When the owner's caller is cancelled while <moment>
    Then the owner's next caller is served
    And the owner has no slot or connection in use after the release

    Examples:
      | moment                                 |
      | it waits                               |
      | its slot is granted but it has not run |
      | it connects                            |
      | it waits to resume                     |
      | its resumption is granted but not run  |
      | another task releases it               |

  Scenario: waiting work is refused at its deadline without other events
    Guards against callers that hang while a statement occupies the slot.
    Given an owner of a member with 1 slots
    When the owner's second caller waits past its deadline
    Then the owner's second caller is refused with "deadline_exceeded"

  Scenario: work for a member that accepts no connection is refused
    Guards against callers that queue for an unreachable member, and against a
    storm of connection attempts, which the back-off prevents.
    Given an owner of a member with 1 slots
    When the owner's target fails for 10 callers
    Then the owner's callers are refused with "target_unreachable"
    And the owner's target got 1 connection attempt
    And the owner's callers are served again after the back-off

  Scenario Outline: only clean connections are reused
    Guards against a request that runs inside the open transaction of another
    request, because it got the same connection.
    Given an owner of a member with 1 slots
    When the owner's grant is released as <kind>
    Then the owner's next grant has the <which> connection
    And the owner's target has 1 open connection

    Examples:
      | kind         | which |
      | reusable     | same  |
      | not reusable | new   |
      | closed       | new   |

  Scenario: parked transactions leave connections for single statements
    Guards against idle transactions that hold all connections and so block all
    other work.
    Given an owner of a member with 2 slots
    When the owner's callers begin 9 transactions and park them
    Then the owner has 5 parked and grants 2 more single statements
    And the owner refuses to park a sixth

  Scenario: a stopping owner refuses new work and waits for grants
    Guards against a shutdown that interrupts requests in flight.
    Given an owner of a member with 1 slots
    When the owner is stopped with one grant held and one caller waiting
    Then the owner's waiting caller is refused with "not_owner"
    And the owner's stop ends only after the release
    And the owner's target has 0 open connection

  Scenario: a member that is dropped and owned again keeps its owner
    Guards against two connection pools for one member, which together exceed
    the connection share of the host.
    Given an owner of a member with 2 slots
    Then the owner registry reuses a draining owner

  Scenario: each grant and each refusal writes one decision line
    Guards against scheduling decisions that the log does not explain.
    Given an owner of a member with 1 slots
    When the owner's second caller waits past its deadline
    Then the owner's decision lines are complete
