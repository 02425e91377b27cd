"""Replicated log of one member, held in memory."""

from collections.abc import Sequence
from typing import final

from standins.log_entry import LogEntry


@final
class MemberLog:
    """Entries in order; the first entry has position 1."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[LogEntry] = []
        self._history: list[tuple[int, int]] = []

    @property
    def position(self) -> int:
        """Position of the last entry; 0 if the log is empty."""
        return len(self.entries)

    def history(self, count: int) -> tuple[tuple[int, int], ...]:
        """Return the first position of each of the newest ``count`` terms.

        The pairs are of term and position, in ascending order.
        """
        return tuple(self._history[-count:])

    def term_at(self, position: int) -> int:
        """Return the term of an entry; 0 for position 0."""
        return self.entries[position - 1].term if position else 0

    def holds(self, term: int, position: int) -> bool:
        """Tell whether the entry (``term``, ``position``) is in the log."""
        return position <= self.position and self.term_at(position) == term

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the end."""
        self.entries.append(entry)
        if not self._history or self._history[-1][0] != entry.term:
            self._history.append((entry.term, self.position))

    def truncate(self, position: int) -> None:
        """Remove the entries after ``position``."""
        del self.entries[position:]
        self._history = [pair for pair in self._history if pair[1] <= position]

    def first_conflict(
        self,
        previous_position: int,
        entries: Sequence[LogEntry],
    ) -> int | None:
        """Return the first position at which the terms differ.

        Parameters
        ----------
        previous_position
            Position of the entry before ``entries``.
        entries
            Shipped entries to compare with this log.

        Returns
        -------
        int | None
            None if the log agrees with ``entries`` as far as it goes.
        """
        for offset, entry in enumerate(entries, start=1):
            position = previous_position + offset
            if position > self.position:
                return None
            if self.term_at(position) != entry.term:
                return position
        return None
