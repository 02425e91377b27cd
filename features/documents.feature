Feature: Service documents
  An edit that is in force on some hosts only, that reverts, or whose answer is
  wrong makes the service break what its team has declared.

  Scenario Outline: document edits are answered truthfully under faults
    A refused edit that takes effect, or an accepted one that does not, makes
    an operator repeat or drop a change wrongly.
    Given a documents fleet of 2 hosts
    When the documents platform has the fault <fault>
    And document editor host-1 applies an edit at revision 0
    Then the document edit is <result>
    And the documents platform holds revision <revision>
    And document host host-1 has revision <in force>

    Examples:
      | fault                     | result               | revision | in force |
      | none                      | accepted             | 1        | 1        |
      | outage                    | platform_unavailable | 0        | 0        |
      | lost answer               | accepted             | 1        | 1        |
      | 2 lost answers            | accepted             | 1        | 1        |
      | delayed write             | accepted             | 1        | 1        |
      | lost answer, 2 reads lost | accepted             | 1        | 1        |
      | lost answer, all lost     | unsettled            | 1        | 0        |
      | delayed write, all lost   | unsettled            | 1        | 0        |

  Scenario Outline: document edits that another editor overtakes
    Guards against an edit that overwrites another one or claims its success.
    Given a documents fleet of 2 hosts
    When the documents platform has the fault <fault>
    And document editor host-1 begins an edit
    And another document editor brings the platform to revision <revision>
    And the document editor host-1 finishes
    Then the document edit is <result>
    And the document edit answer names revision <revision>

    Examples:
      | fault         | revision | result            |
      | delayed write | 1        | document_conflict |
      | delayed write | 2        | unsettled         |
      | lost answer   | 2        | unsettled         |

  Scenario: document editors race
    Guards against two editors that both believe their edit is in force.
    Given a documents fleet of 2 hosts
    When document editors host-1 and host-2 apply an edit at revision 0
    Then one document edit is accepted and one conflicts with revision 1
    When document editor host-2 applies an edit at revision 1
    Then the document edit is accepted
    And the documents platform holds revision 2

  Scenario Outline: document revisions reach all hosts
    Guards against hosts that keep an old document in force.
    Given a documents fleet of <count> hosts
    When document editor host-1 applies an edit at revision 0
    And the documents fleet spreads by <way>
    Then each document host has revision 1

    Examples:
      | count | way      |
      | 4     | pushes   |
      | 4     | probes   |
      | 4     | polls    |
      | 24    | probes   |

  Scenario Outline: document catch-up of a restarted host in an outage
    Guards against a host that serves without its documents, or never serves.
    Given a documents fleet of 4 hosts
    When document editor host-1 applies an edit at revision 0
    And the documents fleet spreads by probes
    And the documents platform has the fault outage
    And document host host-4 restarts with peers <peers>
    Then document host host-4 has revision <revision>
    And document host host-4 counts as <readiness>

    Examples:
      | peers     | revision | readiness |
      | reachable | 1        | ready     |
      | cut off   | 0        | not ready |

  Scenario: document catch-up does not trust a host that is not ready
    Guards against a fleet that restarts in an outage and answers that it knows
    no services.
    Given a documents fleet of 2 hosts
    When the documents platform has the fault outage
    And spread host host-2 is killed
    And document host host-1 restarts with peers reachable
    And document host host-2 restarts with peers reachable
    Then document host host-1 counts as not ready
    And document host host-2 counts as not ready
    And document host host-2 is degraded by "platform_unreachable/table documents_unconfirmed/documents"
    When the documents platform has the fault none
    And document host host-2 confirms its documents
    Then document host host-2 counts as ready

  Scenario: document host that is alone says so
    Guards against an outage that nobody notices.
    Given a documents fleet of 2 hosts
    When document editor host-1 applies an edit at revision 0
    And the documents platform has the fault outage
    And document host host-1 confirms its documents
    Then document host host-1 is degraded by "platform_unreachable/table"
    When spread host host-2 is killed
    And document host host-1 confirms its documents
    Then document host host-1 is degraded by "platform_unreachable/table documents_unconfirmed/documents"
    And document host host-1 has revision 1
    When the documents platform has the fault none
    And document host host-1 confirms its documents
    Then document host host-1 is degraded by "nothing"

  Scenario: document tasks keep a fleet current on their own
    Guards against task loops that do not run what the steps test.
    Given a documents fleet of 3 hosts
    When document host tasks run while another editor writes revision 1
    Then each document host has revision 1

  Scenario: document that cannot be read does not stop the others
    Guards against one bad row that freezes all services.
    Given a documents fleet of 2 hosts
    When the documents platform holds an unreadable row
    And another document editor brings the platform to revision 1
    And document host host-1 confirms its documents
    Then document host host-1 has revision 1

  Scenario: document revisions never fall
    Guards against a late message that reverts a document.
    Then document revisions applied in any order end at the highest

  Scenario Outline: document platform answers over HTTP
    Guards against an exception or a wrong result where the platform fails.
    Given a document platform that answers <status> with "<body>"
    Then the document platform call <call> gives <result>

    Examples:
      | status | body                                                    | call  | result                                                       |
      | 200    | {'key':'documents/a','revision':3,'value':{'b':1}}      | read  | Row(key='documents/a', revision=3, payload={'b': 1})         |
      | 404    | {}                                                      | read  | Row(key='documents/a', revision=0, payload=None)             |
      | 503    | {}                                                      | read  | PlatformUnavailable                                          |
      | 200    | not JSON                                                | read  | PlatformUnavailable                                          |
      | 200    | {'key':'documents/a'}                                   | read  | PlatformUnavailable                                          |
      | 200    | {'revision':4}                                          | write | RowWritten(revision=4)                                       |
      | 409    | {'key':'documents/a','revision':5,'value':{}}           | write | RowConflict(current=Row(key='documents/a', revision=5        |
      | 500    | {}                                                      | write | PlatformUnavailable                                          |
      | 200    | [{'key':'documents/a','revision':3,'value':{}}]         | list  | (Row(key='documents/a', revision=3, payload={}),)            |
      | 200    | [{'host_id':'a','address':'b','data_centre':'c','state':'leaving'}] | hosts | (ListedHost(host_id='a', address='b', data_centre='c', state='leaving'),) |
      | 200    | [{'host_id':1}]                                         | hosts | PlatformUnavailable                                          |
      | 200    | {}                                                      | register | None                                                      |
      | 404    | {}                                                      | register | PlatformUnavailable                                       |
      | none   | -                                                       | read  | PlatformUnavailable                                          |
      | none   | -                                                       | write | PlatformUnavailable                                          |
