"""Floors of the sessions that wrote at a held term."""

from collections import OrderedDict
from typing import final

from mimosapond.floor import Floor
from mimosapond.invariant_error import Invariant, InvariantError


@final
class SessionTable:
    """Bounded; eviction raises the floor of all sessions not listed."""

    def __init__(self, start: Floor, limit_count: int) -> None:
        """Give unlisted sessions the start-of-term entry as their floor."""
        self._base = start
        self._limit_count = limit_count
        self._positions: OrderedDict[str, int] = OrderedDict()

    def note(self, session_id: str | None, position: int) -> None:
        """Record that the session may have seen ``position``."""
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
