"""Finds transactions that nobody ends."""

import asyncio
import time
from typing import Final, final

from standins.database_group.group_member import GroupMember

_PERIOD_S: Final = 0.5
# Longer than a frozen host that is cut off afterwards (4 s each in the live
# test), the idle limit of transactions and the slack of other hosts together.
STUCK_S: Final = 13.0


@final
class StuckWatch:
    """Records each open transaction without a statement for too long."""

    def __init__(
        self, members: tuple[GroupMember, ...], limit_s: float = STUCK_S
    ) -> None:
        """Take the members."""
        self._members = members
        self._limit_s = limit_s
        self._recorded: set[tuple[int, float]] = set()

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            await asyncio.sleep(min(_PERIOD_S, self._limit_s / 2))
            for member in self._members:
                self._check(member)

    def _check(self, member: GroupMember) -> None:
        oldest_s = time.monotonic() - self._limit_s
        for connection in tuple(member.connections):
            session = connection.session
            key = (session.number, session.active_s)
            if session.transaction is None or connection.is_busy:
                continue
            if session.active_s < oldest_s and key not in self._recorded:
                self._recorded.add(key)
                detail = f'open without statements: {session.transaction}'
                member.checks.record('STUCK', member.member_id, detail)
