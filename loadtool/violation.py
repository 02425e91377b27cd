"""Rules of the history checker, and violations of them."""

import enum
from typing import final

import attrs

from loadtool.history_record import HistoryRecord


@final
class Rule(enum.StrEnum):
    """Rules that a run must keep; reports print what a violation means."""

    LOST_WRITE = 'an acknowledged write is not in the surviving log'
    LOST_WITHOUT_CHANGE = 'a write was lost without a change of primary'
    TWICE = 'a request ran twice'
    RAN_AFTER_REFUSAL = 'a refused request ran'
    RAN_AFTER_ROLLBACK = 'a transaction that was rolled back is in the log'
    REPLACED_PRIMARY = 'a replaced primary acknowledged a write'
    WRONG_TOKEN = 'a token names another log entry'
    OWN_WRITE = 'a read misses the last write of its session'
    FALSE_LOSS = 'a write was reported as lost but survived'
    STALE = 'a read is older than its bound'
    WRONG_AGE = 'a read is older than the age it states'
    TORN = 'a transaction is incomplete or mixed with another'
    DIRTY_READ = 'a read shows a write that did not run'
    WRONG_ANSWER = 'an answer belongs to another request or is incomplete'
    WRONG_SETTLEMENT = 'a settled outcome differs from the log'
    LEAVING_TARGET = 'a leaving target served a read'
    SHUTDOWN = 'a graceful shutdown interrupted a request'
    REVERTED_DOCUMENT = 'a host reverted to an older document'
    LATE_DOCUMENT = 'an accepted document is not in force in time'
    TWO_WINNERS = 'two edits of one revision were accepted'
    DIVERGED = 'members hold different logs after the run'
    NOT_RECOVERED = 'the group takes no writes after the faults'


@final
@attrs.frozen
class Violation:
    """A broken rule.

    Attributes
    ----------
    subject
        Mark, host, member or revision that the violation concerns.
    requests
        Requests that show the violation, if any.
    """

    rule: Rule
    subject: str
    requests: tuple[HistoryRecord, ...] = ()
