"""A database group: its members, its primary and what covers its reads."""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.groups.leader_observations import LeaderObservations
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member

# The detection of a lost primary and its replacement take this long at most,
# if they succeed at once. Later, callers are refused without delay.
_MAX_FAILOVER_S: Final = 2.5


@final
class Group:
    """State of a group, shared by sessions and the primary's watch."""

    def __init__(self, name: str, created_s: float) -> None:
        """Start without members."""
        self.name = name
        self.members: dict[str, Member] = {}
        self.observations = LeaderObservations()
        self.primary_confirmed_s = created_s
        self.primary_check_needed = asyncio.Event()
        self._primary: Member | None = None
        self._last_primary_id = ''
        self._primary_confirmed = asyncio.Event()

    @property
    def has_seen_primary(self) -> bool:
        """Whether this host has seen any primary."""
        return bool(self._last_primary_id)

    @property
    def is_majority_unreachable(self) -> bool:
        """Whether this host can open connections to less than half."""
        listed = [
            member
            for member in self.members.values()
            if member.unlisted_since_s is None
        ]
        missed_count = sum(member.load.is_unreachable for member in listed)
        return missed_count * 2 > len(listed)

    @property
    def primary(self) -> Member | None:
        """The member that led when it last proved it; None if in doubt."""
        return self._primary

    def confirm_primary(
        self, member: Member, asked_s: float, position: LogPosition | None
    ) -> None:
        """Record that a member accepted work that only a primary accepts.

        The newest request decides: the term of a position is that of the last
        commit, so it does not tell an earlier primary from a later one.
        """
        is_new = self._last_primary_id != member.member_id
        if position is None or (is_new and asked_s < self.primary_confirmed_s):
            return
        if self._primary is not member:
            logger.bind(
                group=self.name, member=member.member_id, at=str(position)
            ).info('primary_found')
        if is_new:
            # Its log may lack commits of the former one that were never
            # acknowledged; no member would reach their positions.
            self.observations.clear()
        self.primary_confirmed_s = max(asked_s, self.primary_confirmed_s)
        self.observations.add(asked_s, position)
        self._last_primary_id = member.member_id
        self._primary = member
        self._primary_confirmed.set()

    def record_relayed_position(
        self, member_id: str, asked_s: float, position: LogPosition
    ) -> None:
        """Record what another host learned from a primary that it reaches.

        The member need not be in reach of this host, or known to it.
        """
        is_new = self._last_primary_id != member_id
        if is_new and asked_s < self.primary_confirmed_s:
            return
        if is_new:
            self.observations.clear()
        self._last_primary_id = member_id
        self.primary_confirmed_s = max(asked_s, self.primary_confirmed_s)
        self.observations.add(asked_s, position)

    def suspect_primary(self, member: Member, reason: str) -> None:
        """Record that a member may lead no longer."""
        if self._primary is member:
            logger.bind(
                group=self.name, member=member.member_id, reason=reason
            ).info('primary_doubted')
            self._primary = None
            self._primary_confirmed.clear()
            self.primary_check_needed.set()

    def failover_wait_s(self, now_s: float) -> float:
        """Return how much longer a change of primary is worth waiting for.

        Without a majority in reach, none can be made or noticed here.
        """
        if self._primary is not None:
            return _MAX_FAILOVER_S
        if self.is_majority_unreachable:
            return 0
        return max(self.primary_confirmed_s + _MAX_FAILOVER_S - now_s, 0)

    async def await_primary(self, limit_s: float) -> Member | None:
        """Return the primary, waiting while it is in doubt."""
        if self._primary is None and limit_s > 0:
            try:
                async with asyncio.timeout(limit_s):
                    await self._primary_confirmed.wait()
            except TimeoutError:
                return None
        return self._primary
