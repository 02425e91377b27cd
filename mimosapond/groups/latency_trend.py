"""Smoothed latency of one class of statements, and its floor."""

import math
from typing import Final, final

# Weight of a new sample. Latencies are averaged as logarithms, so that a few
# statements of the heavy tail do not look like a member under load.
_SAMPLE_WEIGHT: Final = 0.06
# Samples before the floor is trusted; until then the ratio is 1.
_MIN_SAMPLE_COUNT: Final = 8
# Half of the window over which the floor is the lowest smoothed latency.
_HALF_WINDOW_S: Final = 5.0
# Largest rise of the floor in half a window. A floor that followed the latency
# at once would accept the queue that a host itself causes at the member.
_MAX_RISE_LOG: Final = math.log(1.25)
_MIN_LATENCY_S: Final = 0.0005


@final
class LatencyTrend:
    """Compares the recent latency with a floor that rises slowly."""

    def __init__(self, now_s: float) -> None:
        """Start without samples."""
        self._sample_count = 0
        self._smoothed_log: float = 0
        self._floor_log = math.inf
        self._half_start_s = now_s
        self._half_lowest_log = math.inf

    @property
    def latency_s(self) -> float | None:
        """Smoothed latency; None before the first sample."""
        if not self._sample_count:
            return None
        return math.exp(self._smoothed_log)

    @property
    def ratio(self) -> float:
        """Smoothed latency divided by the floor; 1 while too little is known."""
        if self._sample_count < _MIN_SAMPLE_COUNT:
            return 1
        return math.exp(self._smoothed_log - self._floor_log)

    def add(self, latency_s: float, now_s: float) -> None:
        """Add the latency of one successful statement."""
        sample_log = math.log(max(latency_s, _MIN_LATENCY_S))
        self._sample_count += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self._sample_count)
        self._smoothed_log += weight * (sample_log - self._smoothed_log)
        if self._sample_count < _MIN_SAMPLE_COUNT:
            return
        self._advance(now_s)
        lowest_log = min(self._half_lowest_log, self._smoothed_log)
        self._half_lowest_log = lowest_log
        self._floor_log = min(self._floor_log, lowest_log)

    def _advance(self, now_s: float) -> None:
        """Let the floor rise to the lowest latency of the last half window."""
        if now_s - self._half_start_s < _HALF_WINDOW_S:
            return
        self._half_start_s = now_s
        if math.isfinite(self._half_lowest_log):
            self._floor_log = min(
                self._half_lowest_log, self._floor_log + _MAX_RISE_LOG
            )
        self._half_lowest_log = math.inf
