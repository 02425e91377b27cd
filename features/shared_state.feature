Feature: One host of a data centre reads the store for the others

  Scenario: A host adopts what the reader reads, and does not read itself
    Given a reader of the store and a host that follows it
    When the reader reads the registrations of p and a
    Then the host knows the members p and a
    And the host leaves reading to the reader

  Scenario: A lost reader is noticed before its registrations are too old
    Given a reader of the store and a host that follows it
    When the reader reads the registrations of p and a
    And the reader stops answering
    Then the host reads the store itself

  Scenario: An answer that is processed late does not make old data look new
    Given a reader of the store and a host that follows it
    When the reader read the registrations of p and a 2 s ago
    Then the host takes the registrations as at least 2 s old

  Scenario: Older registrations of the reader do not hide a newer member
    Given a reader of the store and a host that follows it
    And the host has read the registrations of p, a and b itself
    When the reader read the registrations of p and a 1 s ago
    Then the host knows the members p, a and b

  Scenario: An outage that only the reader saw makes no member unlisted
    Given a reader of the store and a host that follows it
    When the reader reads the registrations of p and a
    And the reader reads the registrations of p just after an outage
    Then no member is unlisted at the host

  Scenario: Every field of a registration is handed on
    # Without this, a number that JSON writes in another form makes each host
    # read the store itself.
    Then a registration with 5 slots and a warm-up of 0 ms is handed on whole
    And a registration with 5 slots and a warm-up of 1200.5 ms is handed on whole

  Scenario: A host leaves the source of configurations to the reader
    Given a reader of the store and a host that follows it
    When the source of configurations answers the reader
    And the reader reads the registrations of p and a
    Then the host leaves the source of configurations to the reader

  Scenario: A reader whose source stops answering does not cover it
    Given a reader of the store and a host that follows it
    When the source of configurations answers the reader
    And the source of configurations does not answer the reader
    And the reader reads the registrations of p and a
    Then the host follows the source of configurations itself

  Scenario: A reader whose source stops answering says so at once
    # Guards against configurations that come late (CONFIG): hosts relied on a
    # reader that was cut off until it answered them with its next read.
    Given a reader of the store and a host that follows it
    When the reader reads the registrations of p and a
    And the source of configurations answers the reader
    And the reader reads the registrations of p and a
    And the source of configurations does not answer the reader
    Then the host follows the source of configurations itself

  Scenario: A reader without an answer of the source does not cover it
    Given a reader of the store and a host that follows it
    When the reader reads the registrations of p and a
    Then the host follows the source of configurations itself

  Scenario Outline: An answer that is not readable changes nothing
    Then the body <body> is no state

    Examples:
      | body                                                        |
      | {}                                                          |
      | {"read_number": "x"}                                        |
      | {"read_number": 1, "registrations_read_ms": null}           |
      | {"read_number": 1, "registrations_read_ms": 0, "unlisting_wait_ms": 0, "configuration_answered_ms": 0, "records_digest": "", "records": [{"member_id": 1}]} |
      | {"read_number": 1, "registrations_read_ms": 0, "unlisting_wait_ms": 0, "configuration_answered_ms": 0, "records_digest": "", "records": 7} |
