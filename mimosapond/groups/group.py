"""A database group: its members, its primary and what covers its reads."""

import asyncio
from collections.abc import Iterable
from typing import final

from loguru import logger

from mimosapond.groups.leader_observations import LeaderObservations
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member


@final
class Group:
    """State of a group, shared by sessions and the primary's watch."""

    def __init__(self, name: str) -> None:
        """Start without members."""
        self.name = name
        self.members: dict[str, Member] = {}
        self.observations = LeaderObservations()
        self.term = 0
        self.doubt = asyncio.Event()
        self.observed = asyncio.Event()
        self._primary: Member | None = None
        self._proven = asyncio.Event()

    @property
    def primary(self) -> Member | None:
        """The member that led when it last proved it; None if in doubt."""
        return self._primary

    @property
    def replicas(self) -> Iterable[Member]:
        """All members but the primary."""
        return [
            member
            for member in self.members.values()
            if member is not self._primary
        ]

    def prove_primary(
        self, member: Member, asked_s: float, position: LogPosition | None
    ) -> None:
        """Record that a member accepted work that only a primary accepts."""
        if position is None or position.term < self.term:
            return
        self.term = position.term
        self.observations.add(asked_s, position)
        self.observed.set()
        if self._primary is not member:
            logger.bind(
                group=self.name, member=member.member_id, at=str(position)
            ).info('primary_found')
            self._primary = member
        self._proven.set()

    def doubt_primary(self, member: Member, reason: str) -> None:
        """Record that a member may lead no longer."""
        if self._primary is member:
            logger.bind(
                group=self.name, member=member.member_id, reason=reason
            ).info('primary_doubted')
            self._primary = None
            self._proven.clear()
            self.doubt.set()

    async def await_primary(self, limit_s: float) -> Member | None:
        """Return the primary, waiting while it is in doubt."""
        if self._primary is None and limit_s > 0:
            try:
                async with asyncio.timeout(limit_s):
                    await self._proven.wait()
            except TimeoutError:
                return None
        return self._primary
