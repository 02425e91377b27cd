Feature: links between hosts
  Real connections to a server in a thread; no other process runs.

  # Guards against an answer that arrived and is dropped, so that its caller is
  # told of a link that closed: a host that leaves ends its links right after
  # its last answers. A write that met the closed connection before the reader
  # had taken the answer from it ended all pending calls.
  Scenario Outline: links pass on an answer that comes right before the end
    Given links to a host that leaves as soon as its calls have ended
    When links get the answer and the end just when <writer> is due
    Then links passed the answer on

    Examples:
      | writer       |
      | a ping       |
      | another call |

  # Guards against a write that is reported as unknown though it never left the
  # host, and against tries that are all used up on a connection that has ended.
  Scenario: links tell that a call which met the end was not sent
    Given links to a host that leaves as soon as its calls have ended
    When links get the answer and the end just when another call is due
    Then links told that the other call was not sent
    And links were given up by then
