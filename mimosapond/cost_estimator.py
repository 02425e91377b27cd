"""Learns from past runs how long a SQL text occupies a slot."""

import collections
from typing import Final, final

# A text that was never seen counts as a short statement.
_DEFAULT_COST_MS: Final = 5.0
_NEWEST_WEIGHT: Final = 0.2
_TABLE_LIMIT_COUNT: Final = 2048


@final
class CostEstimator:
    """Moving average per SQL text; least recently run texts are evicted."""

    def __init__(self, long_statement_ms: float) -> None:
        """Call texts long whose average exceeds ``long_statement_ms``."""
        self._long_statement_ms = long_statement_ms
        self._averages_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of known texts."""
        return len(self._averages_ms)

    def expected_ms(self, fingerprint: str) -> float:
        """Return the expected slot time."""
        return self._averages_ms.get(fingerprint, _DEFAULT_COST_MS)

    def is_long(self, fingerprint: str) -> bool:
        """Tell whether the text is expected to be long."""
        return self.expected_ms(fingerprint) > self._long_statement_ms

    def note(self, fingerprint: str, duration_ms: float) -> None:
        """Include the duration of a finished run."""
        average_ms = self._averages_ms.get(fingerprint, duration_ms)
        average_ms += _NEWEST_WEIGHT * (duration_ms - average_ms)
        self._averages_ms[fingerprint] = average_ms
        self._averages_ms.move_to_end(fingerprint)
        if len(self._averages_ms) > _TABLE_LIMIT_COUNT:
            self._averages_ms.popitem(last=False)

    def note_unfinished(self, fingerprint: str, duration_ms: float) -> None:
        """Include a broken-off run, which shows only a lower bound."""
        if duration_ms > self.expected_ms(fingerprint):
            self.note(fingerprint, duration_ms)
