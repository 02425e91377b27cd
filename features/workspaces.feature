Feature: Workspaces and keys
  A caller's key names its workspace. Nothing runs for a key that the
  configuration in force does not hold, and keys are kept as digests only.

  Scenario Outline: decoding the workspaces of a stored configuration
    # Guards against a version that is half understood: a quota or a key that was
    # left out unnoticed refuses callers or admits others.
    When the stored workspaces <tenants> are decoded
    Then the decoded workspaces are <verdict>

    Examples:
      | tenants                                                                                    | verdict |
      | absent                                                                                     | none    |
      | []                                                                                         | 0       |
      | [{"name":"a","api_keys":["k1","k2"],"priority":1,"rate_per_s":175,"burst":1.5}]            | 1       |
      | [{"name":"a","api_keys":[],"priority":0,"rate_per_s":0,"burst":0}]                         | 1       |
      | null                                                                                       | refused |
      | {}                                                                                         | refused |
      | [7]                                                                                        | refused |
      | [{"name":"a b","api_keys":["secretkey"],"priority":1,"rate_per_s":1,"burst":1}]            | refused |
      | [{"name":"","api_keys":["secretkey"],"priority":1,"rate_per_s":1,"burst":1}]               | refused |
      | [{"name":"a","api_keys":"secretkey","priority":1,"rate_per_s":1,"burst":1}]                | refused |
      | [{"name":"a","api_keys":["secretkey "],"priority":1,"rate_per_s":1,"burst":1}]             | refused |
      | [{"name":"a","api_keys":["secretkey\ud800"],"priority":1,"rate_per_s":1,"burst":1}]        | refused |
      | [{"name":"a","api_keys":["secretkey",""],"priority":1,"rate_per_s":1,"burst":1}]           | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1.5,"rate_per_s":1,"burst":1}]            | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1,"rate_per_s":-1,"burst":1}]             | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1,"rate_per_s":true,"burst":1}]           | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1,"rate_per_s":1e99,"burst":1}]           | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1,"rate_per_s":1}]                        | refused |
      | [{"name":"a","api_keys":[],"priority":1,"rate_per_s":1,"burst":1},{"name":"a","api_keys":[],"priority":1,"rate_per_s":1,"burst":1}] | refused |
      | [{"name":"a","api_keys":["secretkey"],"priority":1,"rate_per_s":1,"burst":1},{"name":"b","api_keys":["secretkey"],"priority":1,"rate_per_s":1,"burst":1}] | refused |

  Scenario Outline: a route is anonymous only if the configuration says so
    When a stored route with anonymous <content> is decoded
    Then the decoded route is <verdict>

    Examples:
      | content | verdict       |
      | absent  | not anonymous |
      | false   | not anonymous |
      | true    | anonymous     |
      | "false" | refused       |
      | 1       | refused       |

  Scenario Outline: the start of a session
    # Guards against callers without a valid key, and against a host that refuses
    # callers where no key is required.
    Given a host whose configuration <state>
    When a caller with a key exchanges <lines>
    Then the caller with a key receives <answer>

    Examples:
      | state                              | lines             | answer                       |
      | has key k1                         | START book k1/    | READY I -/                   |
      | has key k1                         | START book k2/    | ERROR AUTHFAIL               |
      | has key k1                         | START book/       | ERROR AUTHFAIL               |
      | has key k1                         | START nobody k2/  | ERROR NOSUCHDB               |
      | has key k1 and an anonymous route  | START book k2/    | READY I -/                   |
      | has key k1 and an anonymous route  | START book/       | READY I -/                   |
      | has no workspaces                  | START book k2/    | READY I -/                   |
      | has no workspaces                  | START book/       | READY I -/                   |

  Scenario Outline: what the work of a caller names
    Given a host whose configuration <state>
    And its reads are recorded
    When a caller with a key exchanges START book k1/QUERY 1 READ 7/
    Then the recorded work names workspace <workspace> and version 2

    Examples:
      | state                             | workspace |
      | has key k1                        | forge     |
      | has key k1 and an anonymous route | nobody    |
      | has no workspaces                 | nobody    |

  Scenario Outline: a key is revoked while its session is open
    # Guards against statements of a key that was revoked. A transaction that has
    # begun at a member may finish; one of which nothing has run is a new one.
    Given a session whose key k1 is in force
    When the caller sends <before>
    And a new version has key k2
    And the caller sends <statements>
    Then the last reply is <reply>
    And the session is <state>

    Examples:
      | before       | statements    | reply           | state          |
      | read         | read          | unauthenticated | idle           |
      | write        | write         | unauthenticated | idle           |
      | read         | begin         | unauthenticated | idle           |
      | prepare      | execute       | unauthenticated | idle           |
      | read         | set           | unauthenticated | idle           |
      | begin, write | read          | success         | in_transaction |
      | begin, write | write, commit | success         | idle           |
      | begin, write | commit, read  | unauthenticated | idle           |
      | begin        | write         | unauthenticated | failed         |
      | begin        | commit        | rolled_back     | idle           |

  Scenario: a key that stays in force is served on
    Given a session whose key k1 is in force
    When a new version has key k1
    And the caller sends read
    Then the last reply is success

  Scenario Outline: strict revocation ends an open transaction
    Given a session whose key k1 is in force, with strict revocation
    When the caller sends begin, write
    And a new version has key k2
    And the regular round of the host runs <rounds> times
    And the caller sends <statements>
    Then the last reply is <reply>
    And the session is <state>
    And the transaction was rolled back at the primary

    Examples:
      | rounds | statements  | reply           | state  |
      | 0      | write       | unauthenticated | failed |
      | 0      | commit      | rolled_back     | idle   |
      | 1      | write       | unauthenticated | failed |
      | 1      | commit      | rolled_back     | idle   |
      | 1      | write, read | malformed       | failed |

  Scenario: strict revocation needs no further statement of the caller
    Given a session whose key k1 is in force, with strict revocation
    When the caller sends begin, write
    And a new version has key k2
    And the regular round of the host runs 1 times
    Then the transaction was rolled back at the primary

  Scenario Outline: idle sessions of a revoked key are closed
    Given a session whose key k1 is in force
    And a second session with key k2
    When the caller sends <before>
    And a new version has key k2
    And the regular round of the host runs 3 times
    Then the closed sessions are <closed>

    Examples:
      | before               | closed |
      | read                 | first  |
      | begin, write         | none   |
      | begin, write, commit | first  |

  Scenario: a key appears in no log line and in no state
    Given a host whose configuration has key topsecret
    And its reads are recorded
    When a caller with a key exchanges START book topsecret/QUERY 1 READ 7/
    And a new version has key othersecret
    And a caller with a key exchanges START book topsecret/
    Then no log line, session or work contains secret

  Scenario Outline: a host with a newer configuration checks relayed work again
    # Guards against a host that does not hear of a new version and has the work
    # of a revoked key run at a host that has heard of it.
    Given two hosts with key k1, of which the second reaches the primary
    When the caller sends <before>
    And the second host has a newer version with <change>
    And the caller sends <statements>
    Then the last reply is <reply>

    Examples:
      | before       | change        | statements   | reply            |
      | set          | key k1        | write        | success          |
      | set          | key k1        | begin, write | success          |
      | set          | key k2        | write        | unauthenticated  |
      | set          | key k2        | read         | success          |
      | set          | key k2        | begin, write | unauthenticated  |
      | set          | no route      | write        | no_such_database |
      | set          | another group | write        | not_run          |
      | begin, write | key k2        | write        | success          |
      | begin, write | key k2        | commit       | success          |

  Scenario Outline: a host with strict revocation ends relayed transactions
    Given two hosts with key k1, of which the second reaches the primary strictly
    When the caller sends begin, write
    And the second host has a newer version with key k2
    And the caller sends <statements>
    Then the last reply is <reply>
    And the second host has rolled the transaction back

    Examples:
      | statements | reply           |
      | write      | unauthenticated |
      | commit     | rolled_back     |

  Scenario: work uses the newer route of two hosts
    Given a route that changed its priority from 1 to 5
    Then work of the older version has priority 5 at a host with the newer one
    And work of the newer version has priority 1 at a host with the older one

  Scenario: work of an earlier version of the product is decoded
    Then work without the fields of workspaces has none, and is anonymous if said

  Scenario Outline: a host learns of a newer version from another host
    # Guards against a host without contact to the store that goes on to serve a
    # revoked key, and against one that takes its first version from a host that
    # may be cut off from the store.
    Given a host with version <own> whose source <answers>
    And another host with version <other>
    When the first host <asks> and <wait_ms> ms pass for it
    Then the first host has version <found>

    Examples:
      | own | answers                  | other | asks                       | wait_ms | found |
      | 2   | answers                  | 3     | asks for the primary       | 300     | 3     |
      | 2   | answers                  | 1     | asks for the primary       | 300     | 2     |
      | 2   | answers                  | 3     | sends nothing              | 1300    | 2     |
      | 2   | does not answer          | 3     | sends nothing              | 1300    | 3     |
      | 2   | answered a long time ago | 3     | sends nothing              | 1300    | 3     |
      | 3   | does not answer          | 2     | sends nothing              | 1300    | 3     |
      | no  | does not answer          | 3     | asks for the primary       | 1300    | no    |

  # Guards against configurations that come late on many hosts (CONFIG): one host
  # handed a configuration with many routes to each host of its data centre, whose
  # requests timed out on its full link again and again, beside the work on it.
  Scenario Outline: a large configuration is read from the source
    Given a host with version 2 whose source <answers>
    And another host with version 3 and <count> routes
    When the first host asks for the primary and 300 ms pass for it
    Then the first host has version <found>
    And the first host was asked to read its source: <is_asked>

    Examples:
      | answers                 | count | found | is_asked |
      | answers                 | 10    | 3     | no       |
      | answers                 | 1400  | 2     | yes      |
      | does not answer         | 1400  | 2     | yes      |
      | did not answer 2 s ago  | 1400  | 2     | yes      |
      | does not answer for 2 s | 1400  | 3     | no       |

  # Guards against a link that is full of large configurations while many hosts
  # cannot reach the store.
  Scenario: a host hands over a large configuration once a second
    Then a configuration of 1400 routes is handed over at 0, 1100, 2200 of 0, 100, 1100, 1200, 2200 ms
    And a configuration of 10 routes is handed over at 0, 100, 1100 of 0, 100, 1100 ms

  # Guards against a host that waits for a version which the others do not give it.
  Scenario: a version that another host names and does not hand over is read
    Given a host with version 2 whose source answers
    And another host that names version 3 and hands over nothing
    When the first host asks for the primary and 300 ms pass for it
    Then the first host was asked to read its source: yes

  # Guards against a host that ignores such a request while another one hands on
  # new versions, and against one that goes on to read after it.
  Scenario: a host that another one covers reads its source once on request
    Given a source that answers each poll
    When the follower of a covered host is asked to read and 600 ms pass
    Then the source was read once

  # Guards against a configuration that comes late (CONFIG) on a host whose read was
  # refused: nobody read again until another host named the version once more.
  Scenario: a host that another one covers reads again until its source answers
    Given a source that fails for 300 ms
    When the follower of a covered host is asked to read and 900 ms pass
    Then the source answered one read after others that failed

  # Guards against the same where the host that named the version does not answer.
  Scenario: a version that another host named is asked for again
    Given a host with version 2 whose source answers
    And another host with version 3 that leaves request 2 unanswered
    When the first host asks for the primary and 4500 ms pass for it
    Then the first host has version 3

  Scenario: a host that lost its first version with a restart waits for the store
    Given a host with version no whose source does not answer
    And another host with version 3
    When the first host asks for the primary and 100 ms pass for it
    And the store gives it version 2 and 1300 ms pass for it
    Then the first host has version 3

  Scenario: a configuration arrives unchanged and without keys
    Then any configuration is unchanged after it was handed to another host

  Scenario Outline: a body that is no configuration is not activated
    Given a host with version 2 whose source does not answer
    And another host that hands over <body> as its configuration
    When the first host sends nothing and 1300 ms pass for it
    Then the first host has version 2

    Examples:
      | body                                   |
      | {}                                     |
      | []                                     |
      | 7                                      |
      | {"version": 9}                         |
      | {"version": 9, "routes": [], "groups": {}, "transaction_idle_timeout_ms": 1} |

  Scenario: a host of an earlier version goes on to get work
    # Guards against hosts that avoid each other during an upgrade, because those
    # of the earlier version do not know the path of configurations.
    Given a host with version 2 whose source does not answer
    And another host that knows no requests for configurations
    When the first host sends nothing and 1300 ms pass for it
    Then the first host has version 2
    And the other host may be asked for other work

  Scenario: a lost poll of the store is noticed within the time to apply
    # A host that other hosts follow has nobody else to learn a version from.
    Given a source that answers each poll
    When the follower of a host with an apply time of 2000 ms polls
    Then its polls wait for 1000 ms, and the source counts as in contact
    When the source answers no poll
    Then the source counts as silent
