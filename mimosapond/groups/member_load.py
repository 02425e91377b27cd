"""What a host sees of a member through its own requests."""

import math
from typing import Final, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)

_INITIAL_LATENCY_S: Final = 0.015
# Weight of a new sample in the smoothed latency.
_LATENCY_SAMPLE_WEIGHT: Final = 0.15
# A member that refused as behind or busy is avoided this long.
_AVOID_AFTER_REJECTION_S: Final = 0.1
# A member that gave no answer is avoided this long.
_AVOID_AFTER_LINK_LOSS_S: Final = 0.5


@final
@attrs.frozen(eq=False)
class InFlightRequest:
    """A request that is under way."""

    sent_s: float
    is_write: bool


@final
class MemberLoad:
    """Requests under way, latency, log position and last signs of life."""

    def __init__(self, now: Now) -> None:
        """Start without any knowledge of the member."""
        self._now = now
        self._in_flight: dict[InFlightRequest, None] = {}
        self.latency_s = _INITIAL_LATENCY_S
        self.position: LogPosition | None = None
        self.term = 0
        self.last_contact_s = -math.inf
        # Whether a new connection failed after the last sign of life.
        self.is_unreachable = False
        self.avoid_until_s: float = 0

    @property
    def in_flight_count(self) -> int:
        """Requests without an answer yet."""
        return len(self._in_flight)

    def had_contact_within(self, age_s: float) -> bool:
        """Return whether the member gave a sign of life this recently."""
        return self._now() - self.last_contact_s < age_s

    def oldest_request_age_s(self, *, writes_only: bool = False) -> float:
        """Return the age of the oldest request under way; 0 if none is."""
        sent = [
            request.sent_s
            for request in self._in_flight
            if request.is_write or not writes_only
        ]
        return self._now() - min(sent) if sent else 0

    def start(self, *, is_write: bool) -> InFlightRequest:
        """Count a request."""
        request = InFlightRequest(self._now(), is_write=is_write)
        self._in_flight[request] = None
        return request

    def finish(self, request: InFlightRequest) -> None:
        """Stop counting a request."""
        self._in_flight.pop(request, None)

    def record(self, request: InFlightRequest, answer: MemberAnswer) -> None:
        """Learn from an answer."""
        match answer:
            case Completed(position=position):
                taken_s = self._now() - request.sent_s
                self.latency_s += _LATENCY_SAMPLE_WEIGHT * (
                    taken_s - self.latency_s
                )
                self.record_contact(position)
            case Rejected(position=position, kind=kind):
                if kind in {RejectionKind.behind, RejectionKind.busy}:
                    self.avoid_until_s = self._now() + _AVOID_AFTER_REJECTION_S
                self.record_contact(position)
            case LinkLost():
                self.avoid_until_s = self._now() + _AVOID_AFTER_LINK_LOSS_S

    def record_contact(self, position: LogPosition | None) -> None:
        """Note a sign of life."""
        self.last_contact_s = self._now()
        self.is_unreachable = False
        if position is not None:
            self.position = position
            self.term = max(self.term, position.term)
