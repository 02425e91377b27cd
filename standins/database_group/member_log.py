"""The log of one member and the data that it has applied."""

from collections.abc import Sequence
from typing import final

from standins.database_group.log_entry import KeptWrite, LogEntry


@final
class MemberLog:
    """Entries received, of which the first ones are applied.

    Positions are pairs of term and number, as on the wire. The applied
    position takes a new term only together with all that was received at the
    start of that term; otherwise it would claim entries that it lacks.
    """

    def __init__(self) -> None:
        """Start empty at term 1."""
        self.entries: list[LogEntry] = []
        self.items: dict[str, str] = {}
        self.term = 1
        self.applied = (1, 0)

    @property
    def received(self) -> tuple[int, int]:
        """Position up to which the log is held."""
        return self.term, len(self.entries)

    def append(self, writes: Sequence[KeptWrite]) -> LogEntry:
        """Add a commit of the present term."""
        number = len(self.entries) + 1
        self.entries.append(LogEntry(self.term, number, tuple(writes)))
        return self.entries[-1]

    def receive(self, entries: Sequence[LogEntry], term: int) -> None:
        """Take what a primary has, which continues this log."""
        self.entries.extend(entries[len(self.entries) :])
        self.term = max(self.term, term)

    def apply(self, position: tuple[int, int]) -> None:
        """Apply up to a position that was received earlier."""
        number = min(position[1], len(self.entries))
        for entry in self.entries[self.applied[1] : number]:
            self._take(entry)
        self.applied = max(self.applied, (position[0], number))

    def common_count(self, other: 'MemberLog') -> int:
        """Return how many entries from the start are the same."""
        count = min(len(self.entries), len(other.entries))
        while count and self.entries[count - 1] is not other.entries[count - 1]:
            count -= 1
        return count

    def truncate(self, count: int) -> None:
        """Roll back all entries beyond ``count``."""
        del self.entries[count:]
        if self.applied[1] > count:
            self.applied = (self.applied[0], count)
            self.items.clear()
            for entry in self.entries:
                self._take(entry)

    def lead(self, term: int) -> None:
        """Apply everything and start a term."""
        self.term = term
        self.apply(self.received)

    def _take(self, entry: LogEntry) -> None:
        for write in entry.writes:
            self.items[write.item] = write.content


def position_text(position: tuple[int, int]) -> str:
    """Return the text of a position."""
    return f'{position[0]}.{position[1]}'
