Feature: A host stops under load without losing an answer
  The load balancer may send callers to a stopping host until its end. Each of
  their statements gets an answer, and the answer is true.

  # Guards against a process that ends while members run statements of callers,
  # who then get no answer: 2 to 7 lost in each run of review/5.
  Scenario Outline: every statement is answered while callers keep coming
    Given a host whose members need <work_ms> ms for a statement
    When the host stops within 2 s while callers keep coming
    Then every statement was answered before the host ended
    And callers were served after the stop began

    Examples:
      | work_ms |
      | 5       |
      | 300     |
      | 5000    |

  # Guards against a refusal that says that nothing ran where something may have.
  Scenario Outline: a statement that is under way at the end is answered truly
    Given a host whose members need 5000 ms for a statement
    And a caller with a statement timeout of 10 s
    When the host stops within 2 s while a caller waits for <statements>
    Then the last answer on the wire is <answer>

    Examples:
      | statements                 | answer  |
      | READ x                     | TIMEOUT |
      | WRITE x 1                  | INDOUBT |
      | BEGIN, WRITE x 1           | ABORTED |
      | PARSE s WRITE w, EXECUTE s x 1 | INDOUBT |

  # Guards against statements that begin shortly before the end and are cut off,
  # and against callers that wait for a host that cannot serve them any more.
  Scenario Outline: a statement that would not end in time is refused at once
    Given a host whose members need 1 ms for a statement
    When the host has <left_ms> ms left for answers
    And a caller of the stopping host sends <statements>
    Then the last answer on the wire is <answer>
    And the members ran <count> statements

    Examples:
      | left_ms | statements              | answer   | count |
      | 1500    | READ x                  | COMPLETE | 1     |
      | 700     | READ x                  | RETRY    | 0     |
      | 700     | WRITE x 1               | RETRY    | 0     |
      | 700     | BEGIN                   | RETRY    | 0     |
      | 700     | SET a b                 | COMPLETE | 0     |
      | 700     | READ x in a transaction | ABORTED  | 0     |
      | 700     | COMMIT in a transaction | COMPLETE | 1     |
      | 200     | COMMIT in a transaction | ABORTED  | 0     |

  # Guards against sessions that begin at a host which can no longer serve them.
  Scenario: a session that begins too late is refused
    Given a host whose members need 1 ms for a statement
    When the host has 700 ms left for answers
    Then a new session is refused with RETRY

  # Guards against a connection that is closed as idle although a request has
  # arrived on it: the member ran the request, and its answer had nowhere to go.
  Scenario: a request that arrives while idle sessions are closed is answered
    Given a host whose members need 1 ms for a statement
    When a request arrives up to 12 turns of the event loop before idle sessions are closed
    Then each of these requests was answered

  # Guards against a caller who sends the next request as soon as it gets a reply,
  # at the moment at which the host closes its session after that reply.
  Scenario: requests that follow a reply at once are answered
    Given a host whose members need 1 ms for a statement
    When callers send requests without a pause while the host stops
    Then each of these requests was answered
