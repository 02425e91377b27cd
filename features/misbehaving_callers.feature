Feature: Callers that misbehave
  Callers send and read what they like. A host refuses them or closes their
  connections; it stays within its memory and descriptors, and serves others.
  The bounds hold on every machine, so no time and no share is compared.

  Scenario Outline: a crowd that <manner>
    # Guards against a host that buffers for each connection without a common
    # bound, so that a crowd takes more memory than the machine has.
    Given 1 host with the settings memory_mb 100 and max_fds 400
    When <count> misbehaving callers <manner>
    Then each host lives, with at most 80 MiB and 200 descriptors
    And another caller is served

    Examples:
      | count | manner                                |
      | 60    | send a large message                  |
      | 60    | send a large message in small pieces  |
      | 100   | stop half-way in a large message      |
      | 60    | send a message far over the limit     |
      | 20    | send many requests and read no answer |
      | 60    | request large answers and read none   |
      | 60    | keep large values in their sessions   |
      | 300   | connect and send nothing              |

  Scenario: a crowd whose requests are passed on to another host
    # Guards against frames between hosts that no bound counts.
    Given 2 hosts with the settings memory_mb 100 and max_fds 400
    And the first host is cut off from the members
    When 60 misbehaving callers send a large message
    Then each host lives, with at most 80 MiB and 200 descriptors
    And another caller is served

  Scenario Outline: a crowd is closed in the end if it <manner>
    # Guards against connections that stay open for good, and keep a share of
    # the memory or a descriptor from others.
    Given 1 host with the settings start_timeout_ms 500, message_timeout_ms 500 and answer_timeout_ms 500
    When <count> misbehaving callers <manner>
    Then each host comes to have at most 40 descriptors
    And another caller is served

    Examples:
      | count | manner                              |
      | 60    | stop half-way in a large message    |
      | 60    | request large answers and read none |
      | 60    | connect and send nothing            |

  Scenario: a single large message is served
    # Guards against a bound that refuses what one caller may send in calm.
    Given 1 host with the settings memory_mb 100 and max_fds 400
    Then a single caller that sends a large message is served
    And a single caller that sends a large message with other characters is served
    And a single caller that reads a large item is served
