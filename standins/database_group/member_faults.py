"""Timed faults of one member."""

import math
import time
from typing import final


@final
class MemberFaults:
    """Ratio and end time of each kind of fault."""

    def __init__(self) -> None:
        """Start without faults."""
        self._windows: dict[str, tuple[float, float]] = {}

    def set(self, kind: str, ratio: float, for_s: float | None) -> None:
        """Start a fault; without ``for_s`` it lasts until it is set again."""
        lasts_s = math.inf if for_s is None else for_s
        self._windows[kind] = (ratio, time.monotonic() + lasts_s)

    def clear(self) -> None:
        """End all faults."""
        self._windows.clear()

    def ratio(self, kind: str) -> float:
        """Return the ratio of a fault; 0 if it is not in force."""
        ratio, end_s = self._windows.get(kind, (0, 0))
        return ratio if time.monotonic() < end_s else 0

    def has(self, kind: str) -> bool:
        """Return whether a fault is in force."""
        return self.ratio(kind) > 0
