Feature: Service documents
  If an edit reaches only some hosts, is reverted or is answered wrongly, the
  service does not behave as its team has declared.

  Scenario Outline: document edits are answered correctly under faults
    Guards against a refused edit that takes effect and an accepted edit that
    does not. Either one makes an operator repeat or drop a change wrongly.
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

  Scenario Outline: document edits that conflict after an unanswered write
    Guards against an edit that overwrites the edit of another editor, or that
    is reported as accepted although the other edit was.
    Given a documents fleet of 2 hosts
    When the documents platform has the fault <fault>
    And document editor host-1 begins an edit
    And another document editor writes revision <revision>
    And the document editor host-1 finishes
    Then the document edit is <result>
    And the document edit answer names revision <revision>

    Examples:
      | fault         | revision | result            |
      | delayed write | 1        | document_conflict |
      | delayed write | 2        | unsettled         |
      | lost answer   | 2        | unsettled         |

  Scenario: document edits are concurrent
    Guards against two editors that are both told that their edit was accepted.
    Given a documents fleet of 2 hosts
    When document editors host-1 and host-2 apply an edit at revision 0
    Then one document edit is accepted and one conflicts with revision 1
    When document editor host-2 applies an edit at revision 1
    Then the document edit is accepted
    And the documents platform holds revision 2

  Scenario Outline: document revisions reach all hosts
    Guards against hosts that keep using an old document.
    Given a documents fleet of <count> hosts
    When document editor host-1 applies an edit at revision 0
    And the documents fleet synchronizes by <way>
    Then each document host has revision 1

    Examples:
      | count | way      |
      | 4     | pushes   |
      | 4     | probes   |
      | 4     | polls    |
      | 24    | probes   |

  Scenario Outline: document catch-up of a host that restarts during an outage
    Guards against a host that serves requests without its documents, and
    against one that never becomes ready although its peers have the documents.
    Given a documents fleet of 4 hosts
    When document editor host-1 applies an edit at revision 0
    And the documents fleet synchronizes by probes
    And the documents platform has the fault outage
    And document host host-4 restarts with peers <peers>
    Then document host host-4 has revision <revision>
    And document host host-4 counts as <readiness>

    Examples:
      | peers     | revision | readiness |
      | reachable | 1        | ready     |
      | cut off   | 0        | not ready |

  Scenario: document catch-up does not trust a host that is not ready
    Guards against hosts that all restart during an outage and then answer that
    no service exists.
    Given a documents fleet of 2 hosts
    When the documents platform has the fault outage
    And gossip host host-2 is killed
    And document host host-1 restarts with peers reachable
    And document host host-2 restarts with peers reachable
    Then document host host-1 counts as not ready
    And document host host-2 counts as not ready
    And document host host-2 is degraded by "platform_unreachable/table documents_unconfirmed/documents"
    When the documents platform has the fault none
    And document host host-2 refreshes its documents
    Then document host host-2 counts as ready

  Scenario: document host without platform and peers reports it
    Guards against an outage that is not reported.
    Given a documents fleet of 2 hosts
    When document editor host-1 applies an edit at revision 0
    And the documents platform has the fault outage
    And document host host-1 refreshes its documents
    Then document host host-1 is degraded by "platform_unreachable/table"
    When gossip host host-2 is killed
    And document host host-1 refreshes its documents
    Then document host host-1 is degraded by "platform_unreachable/table documents_unconfirmed/documents"
    And document host host-1 has revision 1
    When the documents platform has the fault none
    And document host host-1 refreshes its documents
    Then document host host-1 is degraded by "nothing"

  Scenario: document tasks keep all hosts up to date
    Guards against task loops that do not run the code that the other scenarios
    call directly.
    Given a documents fleet of 3 hosts
    When document host tasks run while another editor writes revision 1
    Then each document host has revision 1

  Scenario: document that cannot be read does not block other documents
    Guards against one malformed row that prevents updates of all services.
    Given a documents fleet of 2 hosts
    When the documents platform holds an unreadable row
    And another document editor writes revision 1
    And document host host-1 refreshes its documents
    Then document host host-1 has revision 1

  Scenario: document revisions never decrease
    Guards against a delayed message that reverts a document.
    Then document revisions applied in any order end at the highest

  Scenario Outline: document platform answers over HTTP
    Guards against an exception or a wrong result if the platform fails.
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
