"""Counters, gauges and timers."""

from typing import Final, Protocol, final

import statsd

_PREFIX: Final = 'mimosapond'


class Metrics(Protocol):
    """Names are dotted; docs/metrics.md lists them with units."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration."""


@final
class StatsdMetrics:
    """Sends metrics over UDP; a lost packet loses one sample."""

    def __init__(self, host: str, port: int) -> None:
        """Open the UDP socket."""
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
    """Drops all metrics; used when no statsd address is set."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, level: float) -> None:
        """Do nothing."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Do nothing."""
