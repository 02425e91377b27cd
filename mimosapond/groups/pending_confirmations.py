"""Commits that members acknowledged and that no witness was seen to have yet."""

import contextlib
from collections.abc import Iterator
from typing import final


@final
class PendingConfirmations:
    """Start times of the confirmations that are under way."""

    def __init__(self) -> None:
        """Start without confirmations."""
        self._started_s: dict[object, float] = {}

    @contextlib.contextmanager
    def confirming(self, now_s: float) -> Iterator[None]:
        """Count a confirmation that begins now and ends with the context."""
        key = object()
        self._started_s[key] = now_s
        try:
            yield
        finally:
            self._started_s.pop(key)

    def oldest_age_s(self, now_s: float) -> float:
        """Return the age of the oldest confirmation; 0 without one."""
        return now_s - min(self._started_s.values(), default=now_s)
