Feature: Access to the listeners of a host
  Runs a platform, three members and one host as separate processes, with
  small limits and the log level DEBUG.

  Background:
    Given access is tried at a host with small limits

  Scenario Outline: operator calls need their secret
    An operator call without the secret could stop a host or change a primary.
    When access to the operator path "<path>" is tried with <secret>
    Then access is answered <status> and "<reason>"

    Examples:
      | path            | secret             | status | reason       |
      | /v1/status      | no secret          | 401    | unauthorized |
      | /v1/status      | a wrong secret     | 401    | unauthorized |
      | /v1/status      | a longer secret    | 401    | unauthorized |
      | /v1/status      | the peer secret    | 401    | unauthorized |
      | /v1/status      | non-ASCII bytes    | 401    | unauthorized |
      | /absent         | a wrong secret     | 401    | unauthorized |
      | /absent         | the right secret   | 404    | bad_field    |

  Scenario Outline: peer links need their secret
    A peer without the secret could run statements past all checks.
    When access as a peer is tried with <secret>
    Then access is answered <status> and "unauthorized"

    Examples:
      | secret              | status |
      | no secret           | 401    |
      | a wrong secret      | 401    |
      | the operator secret | 401    |

  Scenario Outline: malformed peer messages close only their link
    A message that ends a task without an answer would block its sender.
    When access as a peer sends <message>
    Then the access link is closed with code <code>
    And access as a caller still works

    Examples:
      | message                | code |
      | no JSON                | 1003 |
      | a list                 | 1003 |
      | a call without a body  | 1003 |
      | a call id of text      | 1003 |
      | deep nesting           | 1003 |

  Scenario: an oversized peer message cuts only its link
    The host must not keep a message of any size in memory.
    When access as a peer sends 17 MiB
    Then the access link is cut
    And access as a caller still works

  Scenario Outline: malformed peer calls are answered
    The sender must learn at once that its call did not run.
    When access as a peer calls <call>
    Then the access call is answered with status "<status>"
    And access as a caller still works

    Examples:
      | call                 | status   |
      | an unknown operation | rejected |
      | run without fields   | failed   |

  Scenario Outline: connections that hold a place without using it are closed
    A few slow clients could otherwise take all places of the listener.
    When access sends <bytes> and then waits
    Then the access connection is closed by the host

    Examples:
      | bytes                             |
      | nothing                           |
      | a part of the headers             |
      | headers and a part of the body    |
      | a whole request                   |
      | 20 KiB of headers                 |

  Scenario: connections over the limit get a typed answer
    Without a limit, a flood of connections takes all memory and descriptors.
    When access opens connections up to the limit and one more
    Then access over the limit is refused as connection_limit and closed
    And access works again after one connection was closed

  Scenario: a host whose address is taken says so and ends
    A traceback names neither the listener nor what to do about it.
    When access to an address that is in use is started as a second host
    Then the access daemon ends with code 1 and names listener and remedy

  Scenario: no secret is written to the log
    A secret in a log is stored for good, and read by others than operators.
    When access of all kinds has been tried
    Then no access secret is in the output of any process
