"""A member's term, role and log position, as the member reports it."""

from typing import Final, final

import attrs

PRIMARY_ROLE: Final = 'primary'
REPLICA_ROLE: Final = 'replica'


@final
@attrs.frozen
class Standing:
    """Replication state of one member at one moment.

    Attributes
    ----------
    member, group
        Names from the service document.
    role
        ``primary`` or ``replica``.
    term
        Highest term the member adopted.
    granted_to
        Host id that was granted ``term``, or None.
    position
        Position of the last log entry.
    last_term
        Term of the last log entry.
    matched_position
        Position up to which the log is known to equal that of the current
        term's primary.
    history
        Pairs of a term and its first log position, ascending. Only the newest
        terms are listed.
    """

    member: str
    group: str
    role: str
    term: int
    granted_to: str | None
    position: int
    last_term: int
    matched_position: int
    history: tuple[tuple[int, int], ...] = ()

    @property
    def is_primary(self) -> bool:
        """Whether the member believes that it leads its term."""
        return self.role == PRIMARY_ROLE

    @property
    def oldest_term(self) -> int:
        """Oldest term in the reported history, 0 without history."""
        return self.history[0][0] if self.history else 0

    def term_at(self, position: int) -> int:
        """Return the term of the log entry at ``position``, 0 if unknown."""
        covering = 0
        for term, first_position in self.history:
            if first_position <= position:
                covering = term
        return covering

    def contains(self, term: int, position: int) -> bool:
        """Return whether the log contains the entry (``term``, ``position``).

        If the position belongs to another term in this log, the entry was
        lost in a change of primary.
        """
        if position == 0:
            return True
        return position <= self.position and self.term_at(position) == term
