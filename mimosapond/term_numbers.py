"""Numbers of the terms that this host has seen or asked for."""

from typing import final

from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class TermNumbers:
    """Chooses new terms, and knows terms that were left without a primary."""

    def __init__(self, host_id: str) -> None:
        """Start without terms."""
        self._host_id = host_id
        self._unfinished: dict[str, int] = {}
        self._taken: dict[str, int] = {}

    def is_left_over(self, newest: Standing) -> bool:
        """Tell whether a newer term without a primary was abandoned.

        Another host may be between adopt and promote, so such a term is left
        alone when it is seen first. The highest one is kept, because each
        survey may hear another majority.
        """
        is_own = newest.granted_to == self._host_id
        seen_term = self._unfinished.get(newest.group, 0)
        is_seen = newest.term <= seen_term
        self._unfinished[newest.group] = max(newest.term, seen_term)
        return is_own or is_seen

    def take(
        self,
        group: str,
        known: GroupView | None,
        surveyed: tuple[Standing, ...],
    ) -> int:
        """Return a term above all known ones and all earlier attempts.

        Members grant a term to a host, not to an attempt: two attempts of one
        host at one term could promote two members.
        """
        highest = max(
            self._taken.get(group, 0),
            self._unfinished.get(group, 0),
            *(standing.term for standing in surveyed),
        )
        if known is not None:
            highest = max(highest, known.term)
        self._taken[group] = highest + 1
        return highest + 1
