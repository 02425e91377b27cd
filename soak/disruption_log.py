"""Record of the planned work and the disruptions of a live test."""

import contextlib
import math
import time
from collections.abc import Iterable, Iterator
from typing import Final, final

import attrs


@final
@attrs.define(eq=False)
class Span:
    """Time between two moments on the monotonic clock, in seconds."""

    start_s: float
    end_s: float = math.inf

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the span shares a moment with another one."""
        return self.start_s <= end_s and start_s <= self.end_s


@final
class DisruptionLog:
    """Stops and changes that were planned, and disruptions that were not."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._stops: Final[list[tuple[str, float]]] = []
        self._reloads: Final[list[tuple[str, float]]] = []
        self._changes: Final[list[float]] = []
        self._disruptions: Final[list[Span]] = []

    def note_stop(self, host: str) -> None:
        """Record that a host gets SIGTERM now."""
        self._stops.append((host, time.monotonic()))

    def note_reload(self, host: str) -> None:
        """Record that a host gets SIGHUP now."""
        self._reloads.append((host, time.monotonic()))

    def note_change(self) -> None:
        """Record that a configuration is written now."""
        self._changes.append(time.monotonic())

    @contextlib.contextmanager
    def disruption(self) -> Iterator[None]:
        """Record a disruption for as long as the context is entered."""
        span = Span(time.monotonic())
        self._disruptions.append(span)
        try:
            yield
        finally:
            span.end_s = time.monotonic()

    def is_disrupted(self, start_s: float, end_s: float) -> bool:
        """Return whether a disruption overlaps a time span."""
        return any(each.overlaps(start_s, end_s) for each in self._disruptions)

    def last_stop_s(self, host: str, before_s: float) -> float:
        """Return the time of a host's last SIGTERM; -inf without one."""
        return max(_times(self._stops, host, before_s), default=-math.inf)

    def last_reload_s(self, host: str, before_s: float) -> float:
        """Return the time of a host's last SIGHUP; -inf without one."""
        return max(_times(self._reloads, host, before_s), default=-math.inf)

    def last_change_s(self, before_s: float) -> float:
        """Return the time of the last configuration; -inf without one."""
        found = (at_s for at_s in self._changes if at_s <= before_s)
        return max(found, default=-math.inf)


def _times(
    events: Iterable[tuple[str, float]], host: str, before_s: float
) -> Iterator[float]:
    return (at_s for name, at_s in events if name == host and at_s <= before_s)
