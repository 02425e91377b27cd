"""Limit of the statements that this host has in flight at one member.

The limit grows with successes while it is in use, additively or, in slow start,
with each success, and is reduced by a factor when the member refuses
statements, does not answer, or answers much later than its own floor.
"""

import enum
from typing import Final, final

from mimosapond.groups.latency_trend import LatencyTrend
from mimosapond.groups.statement_class import StatementClass

_START_COUNT: Final = 2.0
# First limit of a member that says that it is still slow after its start.
_COLD_START_COUNT: Final = 1.0
_MIN_COUNT: Final = 1.0
# At the first of these multiples of the floor latency the limit stops growing,
# and at the second it shrinks. A
# smoothed heavy-tailed latency varies by about half without any load.
_HOLD_RATIO: Final = 1.6
_SHRINK_RATIO: Final = 2.2
# They do so only if also so many of this host's own statements wait inside the
# member, by Vegas' estimate: the limit times the share of the latency above the
# floor. Without this, hosts with a low limit keep it while others have a high one.
_HOLD_QUEUED_COUNT: Final = 0.75
_SHRINK_QUEUED_COUNT: Final = 1.5
_LATENCY_FACTOR: Final = 0.9
_REFUSAL_FACTOR: Final = 0.7
_TIMEOUT_FACTOR: Final = 0.5
# Growth for each success in slow start: half of the limit in a round trip. It
# is less than double, since several hosts share a member and all see a restart
# at the same time.
_SLOW_START_STEP: Final = 0.5
# Time without statements after which the limit is halved towards its start.
_IDLE_HALVING_S: Final = 5.0
_MIN_ROUND_TRIP_S: Final = 0.005
_DEFAULT_LATENCY_S: Final = 0.015
# Weight of a new answer in the share of refused statements.
_REFUSAL_WEIGHT: Final = 0.05


@final
class Response(enum.Enum):
    """How a member responded to a statement.

    Attributes
    ----------
    succeeded
        It ran the statement, or reported an error of the statement itself.
    waited
        It ran the statement, perhaps after it had waited for a log position.
        The latency shows the replication lag rather than the load.
    refused
        It refused the statement because it is busy.
    timed_out
        It gave no answer in time, or the connection was lost.
    unrelated
        The answer says nothing about the load, such as that of a replica which
        lags behind.
    """

    succeeded = 'succeeded'
    waited = 'waited'
    refused = 'refused'
    timed_out = 'timed_out'
    unrelated = 'unrelated'


@final
class ConcurrencyLimit:
    """Derives the limit from the responses of the member.

    The caller passes the time to each method, in seconds on one clock.
    """

    def __init__(
        self,
        now_s: float,
        slot_count: int | None = None,
        warm_up_left_ms: float | None = None,
    ) -> None:
        """Start low.

        Parameters
        ----------
        slot_count
            Statements that the member runs at a time; None if it is unknown.
            Slow start ends there, or at half of the maximum.
        warm_up_left_ms
            How much longer the member says that it will be slow; None if it is
            unknown.
        """
        self._start_count = (
            _COLD_START_COUNT if warm_up_left_ms else _START_COUNT
        )
        self._slot_count = slot_count
        self._count = self._start_count
        self._is_slow_start = True
        self._last_use_s = now_s
        self._last_reduction_s = now_s - 1
        self._trends: dict[StatementClass, LatencyTrend] = {}
        self.max_count = 1
        # Smoothed share of the statements that the member refused.
        self.refusal_ratio: float = 0

    @property
    def count(self) -> int:
        """Number of statements that may be in flight; at least 1."""
        return max(1, round(min(self._count, self.max_count)))

    def expected_s(self, statement_class: StatementClass) -> float:
        """Return how long the member is expected to take for a statement."""
        trend = self._trends.get(statement_class)
        latency_s = None if trend is None else trend.latency_s
        if latency_s is not None:
            return latency_s
        known = [
            each.latency_s for each in self._trends.values() if each.latency_s
        ]
        return sum(known) / len(known) if known else _DEFAULT_LATENCY_S

    def restart(self) -> None:
        """Start again, as the member was unreachable or has restarted."""
        self._count = self._start_count
        self._is_slow_start = True

    def use(self, now_s: float) -> None:
        """Record that a statement is sent, after any idle time."""
        idle_s = now_s - self._last_use_s
        self._last_use_s = now_s
        if idle_s > _IDLE_HALVING_S and self._count > self._start_count:
            factor = 0.5 ** (idle_s / _IDLE_HALVING_S)
            excess = self._count - self._start_count
            self._count = self._start_count + excess * factor
            self._is_slow_start = True

    def record(
        self,
        response: Response,
        statement_class: StatementClass,
        latency_s: float,
        in_flight_count: int,
        now_s: float,
    ) -> None:
        """Adapt the limit to one response.

        Parameters
        ----------
        in_flight_count
            Statements in flight when the response arrived, including its own.
        """
        if response is Response.unrelated:
            return
        is_refused = response is Response.refused
        self.refusal_ratio += _REFUSAL_WEIGHT * (
            is_refused - self.refusal_ratio
        )
        ratio = 1.0
        match response:
            case Response.refused:
                self._reduce(_REFUSAL_FACTOR, statement_class, now_s)
                return
            case Response.timed_out:
                self._reduce(_TIMEOUT_FACTOR, statement_class, now_s)
                return
            case Response.succeeded:
                ratio = self._add_latency(statement_class, latency_s, now_s)
        queued_count = self._count * (1 - 1 / ratio)
        if ratio > _SHRINK_RATIO and queued_count > _SHRINK_QUEUED_COUNT:
            self._reduce(_LATENCY_FACTOR, statement_class, now_s)
        elif ratio > _HOLD_RATIO and queued_count > _HOLD_QUEUED_COUNT:
            self._is_slow_start = False
        elif in_flight_count * 2 >= self.count:
            self._grow()

    def _add_latency(
        self, statement_class: StatementClass, latency_s: float, now_s: float
    ) -> float:
        trend = self._trends.get(statement_class)
        if trend is None:
            trend = LatencyTrend(now_s)
            self._trends[statement_class] = trend
        trend.add(latency_s, now_s)
        return trend.ratio

    def _grow(self) -> None:
        slow_start_end = self._slot_count or self.max_count / 2
        if self._count >= slow_start_end:
            self._is_slow_start = False
        step = _SLOW_START_STEP if self._is_slow_start else 1 / self._count
        self._count = max(min(self._count + step, self.max_count), _MIN_COUNT)

    def _reduce(
        self, factor: float, statement_class: StatementClass, now_s: float
    ) -> None:
        """Reduce the limit, at most once in a round trip.

        All statements of one round trip tell about the same overload.
        """
        self._is_slow_start = False
        round_trip_s = max(self.expected_s(statement_class), _MIN_ROUND_TRIP_S)
        if now_s - self._last_reduction_s < round_trip_s:
            return
        self._last_reduction_s = now_s
        self._count = max(min(self._count, self.max_count) * factor, _MIN_COUNT)
