"""Carries commits from the primary to the replicas."""

import asyncio
from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S
from standins.database_group.group_member import GroupMember


@final
@attrs.frozen
class _Shipment:
    """What a primary held when a replica last looked."""

    primary: GroupMember | None = None
    position: tuple[int, int] = (0, 0)


@final
class Replication:
    """Gives one replica the commits of the primary, a period late."""

    def __init__(
        self, replica: GroupMember, members: tuple[GroupMember, ...]
    ) -> None:
        """Take the replica and all members."""
        self._replica: Final = replica
        self._members = members
        self._shipment = _Shipment()

    async def run(self) -> None:
        """Go on until cancelled."""
        period_s = self._replica.settings.replication_ms / MS_PER_S
        while True:
            await asyncio.sleep(period_s)
            self._step()

    def _step(self) -> None:
        replica, shipment = self._replica, self._shipment
        self._shipment = self._next_shipment()
        if replica.is_primary or not replica.is_running:
            return
        earlier = replica.log.received
        primary = shipment.primary
        if primary is not None and self._shipment.primary is primary:
            term, number = shipment.position
            if term == primary.log.term:
                replica.log.receive(primary.log.entries[:number], term)
                # One replica that has received a commit is enough.
                primary.log.apply(replica.log.received)
                primary.notify()
        replica.log.apply(earlier)

    def _next_shipment(self) -> _Shipment:
        if not self._replica.receives:
            return _Shipment()
        for member in self._members:
            if member.is_primary and member.is_reachable:
                return _Shipment(member, member.log.received)
        return _Shipment()
