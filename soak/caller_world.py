"""What the callers of one group share."""

import collections
import random
from typing import Final, final

from soak.caller_link import Answer, Done, Lost, Refused
from soak.history import History
from soak.violation import ViolationLog

_RECENT_COUNT: Final = 30


@final
class CallerWorld:
    """Violations, writes and the items that others may read."""

    def __init__(self, seed: int, violations: ViolationLog) -> None:
        """Start without items."""
        self.seed: Final = seed
        self.violations: Final = violations
        self.history: Final = History()
        self.counts: Final[collections.Counter[str]] = collections.Counter()
        self._items: collections.deque[str] = collections.deque(
            maxlen=_RECENT_COUNT
        )

    def note_item(self, item: str) -> None:
        """Let others read an item."""
        if item not in self._items:
            self._items.append(item)

    def choose_item(self, source: random.Random, own: str) -> str:
        """Return an item that was written lately, often an own one."""
        return source.choice([own, source.choice(self._items)])

    def count(self, text: str, answer: Answer) -> None:
        """Count an answer by its kind."""
        word = text.partition(' ')[0]
        match answer:
            case Done():
                self.counts[f'{word} done'] += 1
            case Refused(code=code):
                self.counts[f'{word} {code}'] += 1
            case Lost():
                self.counts[f'{word} lost'] += 1
