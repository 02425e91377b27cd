"""Latencies in a high dynamic range histogram."""

from typing import Final, final

from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 60_000_000
_DIGIT_COUNT: Final = 3
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000


@final
class Latencies:
    """Recorded in seconds, read in milliseconds."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGIT_COUNT)

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def record(self, latency_s: float) -> None:
        """Add one latency; values out of range count as the nearest one."""
        latency_us = round(latency_s * _US_PER_S)
        self._histogram.record_value(
            min(max(latency_us, _LOWEST_US), _HIGHEST_US),
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency below which ``percentile`` of 100 are."""
        latency_us = self._histogram.get_value_at_percentile(percentile)
        return float(latency_us) / _US_PER_MS
