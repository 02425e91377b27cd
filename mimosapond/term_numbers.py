"""Numbers of the terms that this host has seen or attempted."""

from typing import final

from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class TermNumbers:
    """Chooses new terms and detects abandoned terms without a primary."""

    def __init__(self, host_id: str) -> None:
        """Start without seen or attempted terms."""
        self._host_id = host_id
        self._unled: dict[str, int] = {}
        self._attempted: dict[str, int] = {}

    def is_abandoned(self, newest: Standing) -> bool:
        """Return whether a newer term without a primary was abandoned.

        Another host may be between adopt and promote, so a term counts as
        abandoned only when it is seen for the second time, or when this host
        attempted it itself. The highest such term is remembered, because each
        survey may be answered by a different majority.

        Parameters
        ----------
        newest
            Standing with the highest term, which no member leads.
        """
        is_own = newest.granted_to == self._host_id
        seen_term = self._unled.get(newest.group, 0)
        is_seen = newest.term <= seen_term
        self._unled[newest.group] = max(newest.term, seen_term)
        return is_own or is_seen

    def take(
        self,
        group: str,
        known: GroupView | None,
        surveyed: tuple[Standing, ...],
    ) -> int:
        """Return a term above all known terms and all attempts of this host.

        Members grant a term to a host and not to a single attempt, so two
        attempts of one host at the same term could promote two members.
        """
        highest = max(
            self._attempted.get(group, 0),
            self._unled.get(group, 0),
            *(standing.term for standing in surveyed),
        )
        if known is not None:
            highest = max(highest, known.term)
        self._attempted[group] = highest + 1
        return highest + 1
