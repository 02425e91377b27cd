Feature: Changes of primary beside acknowledged commits, as a whole
  Two hosts change the primary of a group, and a third one confirms its commits.

  # Guards against lost commits (LOST) in orders of events that need the promoting and
  # the acknowledging code together: each alone is explored by the two other explorers.
  Scenario: no explored order of crashes, cuts and joins loses a confirmed commit
    Then no confirmed commit is lost beside no other events in the whole orders 0 to 29

  # Guards against a promotion that takes another process, or a primary that was told to
  # step down, for a witness that has ended.
  Scenario: no explored order of restarts loses a confirmed commit
    Then no confirmed commit is lost beside empty restart, host restart, second host events in the whole orders 50 to 69

  # Guards against two calls for different members that both take effect.
  Scenario: no explored order of late promotions loses a confirmed commit
    Then no confirmed commit is lost beside late promotion, second host, changing restart, replica restart events in the whole orders 230 to 249
    And no confirmed commit is lost beside late promotion, second host, changing restart events in the whole orders 55 to 55

  # Guards against a call that names the primary to raise the fence, and that is carried out
  # after an earlier late call has replaced this primary (LOST, issue 47): it leads again without
  # what its successor acknowledged.
  Scenario: no explored order of promotion calls without answers loses a confirmed commit
    Then no confirmed commit is lost beside late promotion, lost calls, second host, ending pauses events in the whole orders 0 to 19
    And no confirmed commit is lost beside late promotion, lost calls, second host, ending pauses events in the whole orders 194 to 194
    And no confirmed commit is lost beside late promotion, lost calls, second host, ending pauses events in the whole orders 273 to 273
    And no confirmed commit is lost beside late promotion, lost calls, second host, ending pauses events in the whole orders 495 to 495

  # Guards against a request to resume of an earlier change that ends the pause of a witness
  # late (LOST, issue 47): the primary, which is cut off, acknowledges commits because of it.
  Scenario: no explored order of requests to resume without answers loses a confirmed commit
    Then no confirmed commit is lost beside late resumes, second host, late promotion events in the whole orders 0 to 9
    And no confirmed commit is lost beside late resumes, second host, late promotion events in the whole orders 1283 to 1283
    And no confirmed commit is lost beside late resumes, second host, late promotion events in the whole orders 1334 to 1334
    And no confirmed commit is lost beside late resumes, second host, late promotion events in the whole orders 2115 to 2115
