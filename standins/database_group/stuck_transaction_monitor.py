"""Detection of open transactions that are never ended."""

import asyncio
import time
from collections.abc import Sequence
from typing import Final, final

from standins.database_group.group_member import GroupMember

_CHECK_INTERVAL_S: Final = 0.5
# Exceeds the sum of the pause of a host and a following network cut (4 s each
# in the live test), the idle timeout of transactions and the delay of other
# hosts.
STUCK_TIMEOUT_S: Final = 13.0


@final
class StuckTransactionMonitor:
    """Records a violation for each transaction that is idle for too long."""

    def __init__(
        self,
        members: Sequence[GroupMember],
        timeout_s: float = STUCK_TIMEOUT_S,
    ) -> None:
        """Store the members to check and the idle timeout."""
        self._members = members
        self._timeout_s = timeout_s
        self._recorded: set[tuple[int, float]] = set()

    async def run(self) -> None:
        """Check all members periodically until cancelled."""
        while True:
            await asyncio.sleep(min(_CHECK_INTERVAL_S, self._timeout_s / 2))
            for member in self._members:
                self._check(member)

    def _check(self, member: GroupMember) -> None:
        cutoff_s = time.monotonic() - self._timeout_s
        for connection in tuple(member.counted_connections):
            session = connection.session
            key = (session.number, session.last_active_s)
            if session.transaction is None or connection.is_busy:
                continue
            if session.last_active_s < cutoff_s and key not in self._recorded:
                self._recorded.add(key)
                detail = f'open without statements: {session.transaction}'
                member.checks.record('STUCK', member.member_id, detail)
