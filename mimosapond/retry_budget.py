"""Limits retries to a share of the requests, so they can't multiply load."""

from typing import Final, final

EARNED_PER_REQUEST: Final = 0.1
LIMIT_COUNT: Final = 20


@final
class RetryBudget:
    """Token bucket filled by requests and drained by retries."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._level: float = LIMIT_COUNT

    @property
    def level(self) -> float:
        """Retries that may be made now."""
        return self._level

    def earn(self) -> None:
        """Count a request."""
        self._level = min(self._level + EARNED_PER_REQUEST, LIMIT_COUNT)

    def spend(self) -> bool:
        """Take one retry; False when none is left."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
