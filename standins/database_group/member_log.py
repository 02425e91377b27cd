"""Log of one member and the data after applying its entries."""

from collections.abc import Sequence
from typing import final

from standins.database_group.log_entry import KeptWrite, LogEntry


@final
class MemberLog:
    """Received entries, a prefix of which is applied.

    Positions are pairs of term and number, as on the wire. The applied
    position advances to a new term only once all entries received before that
    term are applied; otherwise the position would include missing entries.
    """

    def __init__(self) -> None:
        """Start empty at term 1."""
        self.entries: list[LogEntry] = []
        self.items: dict[str, str] = {}
        self.term = 1
        self.applied = (1, 0)

    @property
    def received(self) -> tuple[int, int]:
        """Position of the last received entry."""
        return self.term, len(self.entries)

    @property
    def count(self) -> int:
        """Number of received entries."""
        return len(self.entries)

    def has(self, entry: LogEntry) -> bool:
        """Return whether a commit has been received and not rolled back."""
        is_long_enough = entry.number <= len(self.entries)
        return is_long_enough and self.entries[entry.number - 1] is entry

    def clear(self) -> None:
        """Forget everything, as a member does that starts without its disk."""
        self.entries.clear()
        self.items.clear()
        self.term = 1
        self.applied = (1, 0)

    def append(
        self, writes: Sequence[KeptWrite], primary_id: str = ''
    ) -> LogEntry:
        """Append a commit in the current term and return its entry."""
        number = len(self.entries) + 1
        self.entries.append(
            LogEntry(self.term, number, tuple(writes), primary_id)
        )
        return self.entries[-1]

    def receive(self, entries: Sequence[LogEntry], term: int) -> None:
        """Append the entries of a primary's log that this log lacks.

        Parameters
        ----------
        entries
            Log of the primary from its start; this log is a prefix of it.
        """
        self.entries.extend(entries[len(self.entries) :])
        self.term = max(self.term, term)

    def apply(self, position: tuple[int, int]) -> None:
        """Apply the entries up to a position that has been received."""
        number = min(position[1], len(self.entries))
        for entry in self.entries[self.applied[1] : number]:
            self._apply_entry(entry)
        self.applied = max(self.applied, (position[0], number))

    def common_count(self, other: 'MemberLog') -> int:
        """Return the length of the common prefix of both logs."""
        count = min(len(self.entries), len(other.entries))
        while count and self.entries[count - 1] is not other.entries[count - 1]:
            count -= 1
        return count

    def truncate(self, count: int) -> None:
        """Keep the first ``count`` entries and roll back the others."""
        del self.entries[count:]
        if self.applied[1] > count:
            self.applied = (self.applied[0], count)
            self.items.clear()
            for entry in self.entries:
                self._apply_entry(entry)

    def start_term(self, term: int) -> None:
        """Start a term as primary, with all entries applied."""
        self.term = term
        self.apply(self.received)

    def _apply_entry(self, entry: LogEntry) -> None:
        for write in entry.writes:
            self.items[write.item] = write.content


def position_text(position: tuple[int, int]) -> str:
    """Return a position as on the wire, ``TERM.NUMBER``."""
    return f'{position[0]}.{position[1]}'
