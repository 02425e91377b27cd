"""High dynamic range histogram of latencies."""

from typing import Final, final

from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 60_000_000
_SIGNIFICANT_DIGIT_COUNT: Final = 3
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000


@final
class LatencyHistogram:
    """Histogram that records seconds and returns milliseconds."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGIT_COUNT
        )

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def record(self, latency_s: float) -> None:
        """Add one latency, clamped to the range from 1 µs to 60 s."""
        latency_us = round(latency_s * _US_PER_S)
        self._histogram.record_value(
            min(max(latency_us, _LOWEST_US), _HIGHEST_US),
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency at ``percentile``, which is from 0 to 100."""
        latency_us = self._histogram.get_value_at_percentile(percentile)
        return float(latency_us) / _US_PER_MS
