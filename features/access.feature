Feature: Access to the listeners of a host
  Runs a platform, three members and one host as separate processes, with
  small limits and the log level DEBUG.

  Background:
    Given access is tried at a host with small limits

  Scenario Outline: operator requests require the operator secret
    Guards against operator requests without the secret, which could stop a host
    or change a primary.
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

  Scenario Outline: peer links require the peer secret
    Guards against peers without the secret, which could run statements without
    the checks of the caller listener.
    When access as a peer is tried with <secret>
    Then access is answered <status> and "unauthorized"

    Examples:
      | secret              | status |
      | no secret           | 401    |
      | a wrong secret      | 401    |
      | the operator secret | 401    |

  Scenario Outline: malformed peer messages close only their link
    Guards against a message that ends a task of the host without an answer, so
    that its sender waits until its timeout.
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

  Scenario: an oversized peer message closes only its link
    Guards against messages of unlimited size in the memory of the host.
    When access as a peer sends 17 MiB
    Then the access link is closed
    And access as a caller still works

  Scenario Outline: malformed peer calls are answered
    Guards against a sender that waits until its timeout for a failed call.
    When access as a peer calls <call>
    Then the access call is answered with status "<status>"
    And access as a caller still works

    Examples:
      | call                 | status   |
      | an unknown operation | rejected |
      | run without fields   | failed   |

  Scenario Outline: idle connections and incomplete requests are closed
    Guards against a few slow clients that use up the connection limit of the
    listener.
    When access sends <bytes> and then waits
    Then the access connection is closed by the host

    Examples:
      | bytes                             |
      | nothing                           |
      | a part of the headers             |
      | headers and a part of the body    |
      | a whole request                   |
      | 20 KiB of headers                 |

  Scenario: connections over the limit are refused with a reason
    Guards against a flood of connections that uses up memory and file
    descriptors.
    When access opens connections up to the limit and one more
    Then access over the limit is refused as connection_limit and closed
    And access works again after one connection was closed

  Scenario: a host whose address is in use reports it and exits
    Guards against an exit with only a traceback, which names neither the
    listener nor the remedy.
    When access to an address that is in use is started as a second host
    Then the access daemon exits with code 1 and names listener and remedy

  Scenario: no secret is written to the log
    Guards against secrets in logs, which are archived, and read by others than
    operators.
    When access of all kinds has been tried
    Then no access secret is in the output of any process
