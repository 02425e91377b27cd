"""Permission to send one statement to a member."""

import enum
from collections.abc import Callable
from typing import final

from mimosapond.boot_clock import Now
from mimosapond.groups.admission_request import AdmissionRequest
from mimosapond.groups.concurrency_limit import Response
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_load import MemberLoad


@final
class PermitState(enum.Enum):
    """How far the statement of a permit has come."""

    waiting_for_connection = 'waiting_for_connection'
    in_flight = 'in_flight'
    returned = 'returned'


@final
class Permit:
    """Counts one statement against the limit of a member until it is returned.

    Parameters
    ----------
    request
        The request that was admitted.
    on_change
        Called with the previous state after the state has changed.
    on_response
        Called with each response and its latency in seconds.
    """

    def __init__(
        self,
        request: AdmissionRequest,
        load: MemberLoad,
        now: Now,
        on_change: 'Callable[[Permit, PermitState], None]',
        on_response: 'Callable[[Permit, Response, float], None]',
    ) -> None:
        """Start without a connection."""
        self.request = request
        self.state = PermitState.waiting_for_connection
        self._load = load
        self._now = now
        self._on_change = on_change
        self._on_response = on_response
        self._sent_s = now()
        self._is_position_known = True

    def start(self, wait_for: LogPosition | None = None) -> None:
        """Record that the statement is sent now.

        Parameters
        ----------
        wait_for
            Log position that the member has to reach first; None for no wait.
        """
        self._sent_s = self._now()
        position = self._load.position
        self._is_position_known = wait_for is None or (
            position is not None and position >= wait_for
        )
        self._change(PermitState.in_flight)

    def record(self, answer: MemberAnswer) -> None:
        """Derive from an answer how the member responds."""
        response = self._response(answer)
        self._on_response(self, response, self._now() - self._sent_s)

    def release(self) -> None:
        """Return the permit; a second call does nothing."""
        if self.state is not PermitState.returned:
            self._change(PermitState.returned)

    def _change(self, state: PermitState) -> None:
        previous = self.state
        self.state = state
        self._on_change(self, previous)

    def _response(self, answer: MemberAnswer) -> Response:
        match answer:
            case Rejected(kind=RejectionKind.busy):
                return Response.refused
            case (
                Rejected(kind=RejectionKind.timed_out) | LinkLost(was_sent=True)
            ):
                return Response.timed_out
            case Completed() if self._is_position_known:
                return Response.succeeded
            case Completed():
                return Response.waited
            case _:
                return Response.unrelated
