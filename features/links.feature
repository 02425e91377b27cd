Feature: Links between hosts
  Uses real connections to a server in a thread of the test process.

  # Guards against a received answer that is dropped, so that its call fails as
  # if the link had closed without an answer. A host that shuts down closes its
  # links right after its last answers. If a write failed on the closed
  # connection before the reader had read the answer, all pending calls failed.
  Scenario Outline: links return an answer that arrives right before the close
    Given links to a host that shuts down as soon as its calls have ended
    When links receive the answer and the close just before <writer> is sent
    Then links returned the answer

    Examples:
      | writer       |
      | a ping       |
      | another call |

  # Guards against a write that is reported as unknown although it was never
  # sent, and against retries that are all used up on a closed connection.
  Scenario: links report a call on a closed connection as not sent
    Given links to a host that shuts down as soon as its calls have ended
    When links receive the answer and the close just before another call is sent
    Then links reported the other call as not sent
    And links accept no further calls
