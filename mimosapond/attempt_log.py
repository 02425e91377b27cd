"""Tracks whether an attempt of one request may have run."""

from typing import final

from mimosapond.completed import Completed
from mimosapond.errors import unknown
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown


@final
class AttemptLog:
    """Derives the outcome of a request from all its attempts.

    Once an attempt may have reached a target, the refusal of a later attempt
    does not prove that the request did not run. Only a completed answer, or a
    cancellation that is recorded in the target, settles the outcome.
    """

    def __init__(self, request_id: str) -> None:
        """Start without any attempt that may have run."""
        self._request_id = request_id
        self._problem: str | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an earlier attempt may have taken effect."""
        return self._problem is not None

    def note_unsettled(self, problem: str) -> None:
        """Record an attempt that may have taken effect.

        Parameters
        ----------
        problem
            Why its result is unknown; a part of the message to the caller.
        """
        self._problem = problem

    def settle(self, outcome: Outcome) -> Outcome:
        """Return the outcome of the request after its last attempt.

        A refusal becomes unknown when an earlier attempt may have run.
        """
        match outcome:
            case Completed() | Unknown():
                return outcome
            case Refused(reason=RefusalReason.REQUEST_CANCELLED):
                return outcome
            case Refused() if self._problem is None:
                return outcome
            case Refused():
                return unknown(self._request_id, self._problem or '')
