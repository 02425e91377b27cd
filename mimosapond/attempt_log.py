"""What an entry host knows of the attempts made for one request."""

from typing import final

from mimosapond.completed import Completed
from mimosapond.errors import unknown
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown


@final
class AttemptLog:
    """Turns the last result into an honest outcome.

    Once an attempt may have reached a target, a later refusal doesn't prove
    that the request did not run; only a completed answer or the cancellation
    recorded in the target settles it.
    """

    def __init__(self, request_id: str) -> None:
        """Start without attempts."""
        self._request_id = request_id
        self._problem: str | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have had its effect."""
        return self._problem is not None

    def note_unsettled(self, problem: str) -> None:
        """Note an attempt that may have had its effect."""
        self._problem = problem

    def settle(self, outcome: Outcome) -> Outcome:
        """Return what may be said to the caller after ``outcome``."""
        match outcome:
            case Completed() | Unknown():
                return outcome
            case Refused(reason=RefusalReason.REQUEST_CANCELLED):
                return outcome
            case Refused() if self._problem is None:
                return outcome
            case Refused():
                return unknown(self._request_id, self._problem or '')
