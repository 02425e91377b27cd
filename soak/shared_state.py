"""State that the callers of one group share."""

import collections
import random
from typing import Final, final

from soak.caller_connection import Answer, ErrorAnswer, NoAnswer, Success
from soak.history import History
from soak.unanswered_check import UnansweredRequest
from soak.violation import ViolationLog

_RECENT_COUNT: Final = 30


@final
class SharedState:
    """Found violations, write history, counters and recently written items."""

    def __init__(
        self, seed: int, violations: ViolationLog, *, is_crowded: bool = False
    ) -> None:
        """Start without items.

        Parameters
        ----------
        is_crowded
            Whether the callers hold connections of members most of the time.
        """
        self.is_crowded: Final = is_crowded
        self.seed: Final = seed
        self.violations: Final = violations
        self.history: Final = History()
        self.unanswered: Final[list[UnansweredRequest]] = []
        self.counts: Final[collections.Counter[str]] = collections.Counter()
        self._items: collections.deque[str] = collections.deque(
            maxlen=_RECENT_COUNT
        )

    def note_item(self, item: str) -> None:
        """Make an item available to the reads of all callers."""
        if item not in self._items:
            self._items.append(item)

    def choose_item(self, rng: random.Random, own: str) -> str:
        """Return ``own`` or, equally likely, a recently written item."""
        return rng.choice([own, rng.choice(self._items)])

    def count(self, text: str, answer: Answer) -> None:
        """Count an answer by command and result."""
        word = text.partition(' ')[0]
        match answer:
            case Success():
                self.counts[f'{word} done'] += 1
            case ErrorAnswer(code=code):
                self.counts[f'{word} {code}'] += 1
            case NoAnswer():
                self.counts[f'{word} lost'] += 1
