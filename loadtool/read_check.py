"""Tells stale reads from allowed ones by what the load process itself knows."""

from collections import defaultdict
from typing import final


@final
class ReadCheck:
    """Acknowledged values of rows whose value only grows."""

    def __init__(self) -> None:
        """Start without any write."""
        self._acknowledged: defaultdict[str, list[tuple[float, int]]]
        self._acknowledged = defaultdict(list)

    def acknowledge(self, row_id: str, number: int, now_s: float) -> None:
        """Note that the write of ``number`` was acknowledged."""
        self._acknowledged[row_id].append((now_s, number))

    def newest(self, row_id: str) -> int:
        """Return the newest acknowledged value, 0 before the first."""
        numbers = [number for _moment_s, number in self._acknowledged[row_id]]
        return max(numbers, default=0)

    def oldest_allowed(
        self, row_id: str, asked_s: float, max_age_s: float
    ) -> int:
        """Return the smallest value that a read begun at ``asked_s`` may see.

        Writes acknowledged at least ``max_age_s`` before must be seen.
        """
        numbers = [
            number
            for moment_s, number in self._acknowledged[row_id]
            if moment_s <= asked_s - max_age_s
        ]
        return max(numbers, default=0)

    def is_stale(self, seen: int, own: int, oldest_allowed: int) -> bool:
        """Tell whether a read violates its session or its age bound."""
        return seen < max(own, oldest_allowed)
