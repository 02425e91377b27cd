"""Detects stale reads from the writes that the load process made."""

from collections import defaultdict
from typing import final


@final
class StalenessChecker:
    """Tracks acknowledged values of rows whose value only increases."""

    def __init__(self) -> None:
        """Start without any acknowledged write."""
        self._acknowledged: defaultdict[str, list[tuple[float, int]]]
        self._acknowledged = defaultdict(list)

    def acknowledge(self, row_id: str, number: int, now_s: float) -> None:
        """Record that the write of ``number`` was acknowledged at ``now_s``."""
        self._acknowledged[row_id].append((now_s, number))

    def newest(self, row_id: str) -> int:
        """Return the newest acknowledged value, 0 before the first."""
        numbers = [
            number for _acknowledged_s, number in self._acknowledged[row_id]
        ]
        return max(numbers, default=0)

    def oldest_allowed(
        self, row_id: str, sent_s: float, max_age_s: float
    ) -> int:
        """Return the smallest value that a read sent at ``sent_s`` may return.

        The read must see writes acknowledged at least ``max_age_s`` earlier.
        """
        numbers = [
            number
            for acknowledged_s, number in self._acknowledged[row_id]
            if acknowledged_s <= sent_s - max_age_s
        ]
        return max(numbers, default=0)

    def is_stale(self, seen: int, own: int, oldest_allowed: int) -> bool:
        """Tell whether a read violates its session guarantee or age bound.

        Parameters
        ----------
        seen
            Value that the read returned.
        own
            Newest value that the session of the read wrote.
        oldest_allowed
            Smallest value within the age bound, from ``oldest_allowed``.
        """
        return seen < max(own, oldest_allowed)
