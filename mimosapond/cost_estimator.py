"""Estimates from past runs how long a SQL text occupies a slot."""

import collections
from typing import Final, final

# Estimate for a text that has not run yet; it counts as a short statement.
_DEFAULT_COST_MS: Final = 5.0
_NEWEST_WEIGHT_RATIO: Final = 0.2
_TABLE_LIMIT_COUNT: Final = 2048


@final
class CostEstimator:
    """Keeps an exponential moving average of the duration per SQL text.

    The least recently run text is evicted when the table is full.
    """

    def __init__(self, long_statement_ms: float) -> None:
        """Create an estimator that has seen no text.

        Parameters
        ----------
        long_statement_ms
            A text whose average exceeds this duration is long.
        """
        self._long_statement_ms = long_statement_ms
        self._averages_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of known texts."""
        return len(self._averages_ms)

    def expected_ms(self, fingerprint: str) -> float:
        """Return the time for which the text is expected to occupy a slot."""
        return self._averages_ms.get(fingerprint, _DEFAULT_COST_MS)

    def is_long(self, fingerprint: str) -> bool:
        """Return whether the text is expected to be long."""
        return self.expected_ms(fingerprint) > self._long_statement_ms

    def add_duration(self, fingerprint: str, duration_ms: float) -> None:
        """Include the duration of a finished run."""
        average_ms = self._averages_ms.get(fingerprint, duration_ms)
        average_ms += _NEWEST_WEIGHT_RATIO * (duration_ms - average_ms)
        self._averages_ms[fingerprint] = average_ms
        self._averages_ms.move_to_end(fingerprint)
        if len(self._averages_ms) > _TABLE_LIMIT_COUNT:
            self._averages_ms.popitem(last=False)

    def add_unfinished_duration(
        self, fingerprint: str, duration_ms: float
    ) -> None:
        """Include the duration of an aborted run, which is a lower bound."""
        if duration_ms > self.expected_ms(fingerprint):
            self.add_duration(fingerprint, duration_ms)
