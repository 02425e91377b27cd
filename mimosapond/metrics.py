"""Port for metrics, and its adapters."""

from typing import Final, Protocol, final

import statsd

_PREFIX: Final = 'mimosapond'


class Metrics(Protocol):
    """Records metrics under dotted names, which docs/metrics.md lists."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration."""


@final
class StatsdMetrics:
    """Sends each sample to statsd in a UDP packet, which may be lost."""

    def __init__(self, host: str, port: int) -> None:
        """Open a UDP socket for packets to statsd."""
        self._client = statsd.StatsClient(host, port, prefix=_PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, level)

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        self._client.timing(name, duration_ms)


@final
class NullMetrics:
    """Discards all metrics; used when no statsd address is set."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, level: float) -> None:
        """Do nothing."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Do nothing."""
