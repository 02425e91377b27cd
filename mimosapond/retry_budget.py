"""Limits retries to a share of the requests, so they can't multiply load."""

from typing import Final, final

RETRIES_PER_REQUEST_RATIO: Final = 0.1
CAPACITY_COUNT: Final = 20


@final
class RetryBudget:
    """Token bucket that requests refill and retries empty."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._available_count: float = CAPACITY_COUNT

    @property
    def available_count(self) -> float:
        """Number of retries that are available."""
        return self._available_count

    def refill(self) -> None:
        """Add the share of a retry that one request earns."""
        self._available_count = min(
            self._available_count + RETRIES_PER_REQUEST_RATIO, CAPACITY_COUNT
        )

    def try_spend(self) -> bool:
        """Use one retry; return False when none is available."""
        if self._available_count < 1:
            return False
        self._available_count -= 1
        return True
