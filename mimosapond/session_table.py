"""Floors of the sessions that wrote during a held term."""

from collections import OrderedDict
from typing import final

from mimosapond.floor import Floor
from mimosapond.invariant_error import Invariant, InvariantError


@final
class SessionTable:
    """Bounded table of the positions that sessions may have seen.

    Evicting a session raises the floor of all sessions that are not listed, so
    that no floor ever falls.
    """

    def __init__(self, start: Floor, limit_count: int) -> None:
        """Start with ``start`` as the floor of every session.

        Parameters
        ----------
        start
            Log entry at the start of the term.
        limit_count
            Sessions that the table may list.
        """
        self._base = start
        self._limit_count = limit_count
        self._positions: OrderedDict[str, int] = OrderedDict()

    def raise_floor(self, session_id: str | None, position: int) -> None:
        """Raise the session's floor to ``position`` if it is lower.

        Raises
        ------
        InvariantError
            The session's floor fell.
        """
        if session_id is None:
            return
        known = self._position_of(session_id)
        self._positions[session_id] = max(known, position)
        self._positions.move_to_end(session_id)
        while len(self._positions) > self._limit_count:
            self._evict()
        if self._position_of(session_id) < known:
            raise InvariantError(
                Invariant.FLOOR_RISES,
                session_id=session_id,
                known=known,
            )

    def floor(self, session_id: str) -> Floor:
        """Return the entry that the session's reads must include."""
        if session_id in self._positions:
            self._positions.move_to_end(session_id)
        return Floor(self._base.term, self._position_of(session_id))

    def _position_of(self, session_id: str) -> int:
        listed = self._positions.get(session_id, 0)
        return max(listed, self._base.position)

    def _evict(self) -> None:
        _, position = self._positions.popitem(last=False)
        self._base = Floor(
            self._base.term,
            max(self._base.position, position),
        )
