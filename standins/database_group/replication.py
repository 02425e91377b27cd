"""Replication of commits from the primary to a replica."""

import asyncio
from collections.abc import Sequence
from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S
from standins.database_group.group_member import GroupMember


@final
@attrs.frozen
class _PrimarySnapshot:
    """Primary and its log position at the previous replication step."""

    primary: GroupMember | None = None
    position: tuple[int, int] = (0, 0)


@final
class Replication:
    """Copies the commits of the primary to one replica after a delay."""

    def __init__(
        self, replica: GroupMember, members: Sequence[GroupMember]
    ) -> None:
        """Store the replica and all members of its group."""
        self._replica: Final = replica
        self._members = members
        self._snapshot = _PrimarySnapshot()

    async def run(self) -> None:
        """Replicate until cancelled."""
        period_s = self._replica.settings.replication_ms / MS_PER_S
        while True:
            await asyncio.sleep(period_s)
            self._replicate_once()

    def _replicate_once(self) -> None:
        replica, snapshot = self._replica, self._snapshot
        self._snapshot = self._take_snapshot()
        if replica.is_primary or not replica.is_running:
            return
        received_earlier = replica.log.received
        primary = snapshot.primary
        if primary is not None and self._snapshot.primary is primary:
            term, number = snapshot.position
            if term == primary.log.term:
                for entry in primary.log.entries[replica.log.count : number]:
                    entry.receiver_ids.append(replica.member_id)
                replica.log.receive(primary.log.entries[:number], term)
                # A commit is acknowledged once one replica has received it.
                primary.log.apply(replica.log.received)
                primary.notify()
        replica.log.apply(received_earlier)

    def _take_snapshot(self) -> _PrimarySnapshot:
        if not self._replica.receives_commits:
            return _PrimarySnapshot()
        for member in self._members:
            if member.is_primary and member.is_reachable:
                return _PrimarySnapshot(member, member.log.received)
        return _PrimarySnapshot()
