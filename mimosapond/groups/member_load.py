"""Load and health of a member, measured by this host's own requests."""

import math
from collections.abc import Callable
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
from mimosapond.groups.process_identity import ProcessIdentity

_INITIAL_LATENCY_S: Final = 0.015
# Weight of a new sample in the smoothed latency.
_LATENCY_SAMPLE_WEIGHT: Final = 0.15
# Rejections after which a member is avoided: a member that fails statements may
# do so although it reports that it is well.
_AVOIDED_KINDS: Final = frozenset((RejectionKind.busy, RejectionKind.failed))
# Time for which a member is avoided after such a rejection.
_AVOID_AFTER_REJECTION_S: Final = 0.1
# Time for which a member whose log lagged behind gets no read that needs a later
# position. It doubles with each further refusal: a replica that receives nothing
# lags for seconds.
_MIN_LAG_PAUSE_S: Final = 0.05
_MAX_LAG_PAUSE_S: Final = 0.8
# Time for which a member is avoided after a request got no complete answer.
_AVOID_AFTER_LINK_LOSS_S: Final = 0.5


def _do_nothing() -> None:
    """Do nothing."""


@final
@attrs.frozen(eq=False)
class InFlightRequest:
    """A request that has no answer yet."""

    sent_s: float
    is_write: bool


@final
class MemberLoad:
    """In-flight requests, latency, log position and last contact."""

    def __init__(self, now: Now) -> None:
        """Assume a default latency and no contact yet."""
        self._now = now
        self._in_flight: dict[InFlightRequest, None] = {}
        self.latency_s = _INITIAL_LATENCY_S
        self.position: LogPosition | None = None
        self.term = 0
        self.last_contact_s = -math.inf
        self.identity = ProcessIdentity(now)
        # Whether an attempt to connect has failed since the last contact.
        self.is_unreachable = False
        self.avoid_until_s: float = 0
        self._lag_pause_s = _MIN_LAG_PAUSE_S
        self._lags_until_s: float = 0
        # Called whenever a request is no longer in flight.
        self.on_finish: Callable[[], None] = _do_nothing

    def now(self) -> float:
        """Return the time on the clock of all times of this member."""
        return self._now()

    @property
    def in_flight_count(self) -> int:
        """Number of requests without an answer yet."""
        return len(self._in_flight)

    def lags_behind(self, position: LogPosition) -> bool:
        """Return whether the member refused a read that needs a position.

        Its log has not been seen to reach the position since.
        """
        is_paused = self._now() < self._lags_until_s
        return is_paused and (self.position is None or self.position < position)

    def had_contact_within(self, age_s: float) -> bool:
        """Return whether the member answered within the last ``age_s``."""
        return self._now() - self.last_contact_s < age_s

    def oldest_request_age_s(self, *, writes_only: bool = False) -> float:
        """Return the age of the oldest request in flight; 0 if none is."""
        sent_times_s = [
            request.sent_s
            for request in self._in_flight
            if request.is_write or not writes_only
        ]
        return self._now() - min(sent_times_s) if sent_times_s else 0

    def start(self, *, is_write: bool) -> InFlightRequest:
        """Count a request as in flight and return its entry."""
        request = InFlightRequest(self._now(), is_write=is_write)
        self._in_flight[request] = None
        return request

    def finish(self, request: InFlightRequest) -> None:
        """Stop counting a request; an unknown one is ignored."""
        self._in_flight.pop(request, None)
        self.on_finish()

    def record(self, request: InFlightRequest, answer: MemberAnswer) -> None:
        """Update latency, position and avoidance from an answer."""
        match answer:
            case Completed(position=position):
                elapsed_s = self._now() - request.sent_s
                self.latency_s += _LATENCY_SAMPLE_WEIGHT * (
                    elapsed_s - self.latency_s
                )
                self._lag_pause_s = _MIN_LAG_PAUSE_S
                self.record_contact(position)
            case Rejected(position=position, kind=RejectionKind.behind):
                self._record_lag()
                self.record_contact(position)
            case Rejected(position=position, kind=kind):
                if kind in _AVOIDED_KINDS:
                    self.avoid_until_s = self._now() + _AVOID_AFTER_REJECTION_S
                self.record_contact(position)
            case LinkLost():
                self.avoid_until_s = self._now() + _AVOID_AFTER_LINK_LOSS_S

    def record_contact(self, position: LogPosition | None) -> None:
        """Record that the member answered, and its log position if given."""
        self.last_contact_s = self._now()
        self.is_unreachable = False
        if position is not None:
            self.position = position
            self.term = max(self.term, position.term)

    def _record_lag(self) -> None:
        """Pause reads of later positions; refusals at one time count once."""
        if self._now() < self._lags_until_s:
            return
        self._lags_until_s = self._now() + self._lag_pause_s
        self._lag_pause_s = min(self._lag_pause_s * 2, _MAX_LAG_PAUSE_S)
