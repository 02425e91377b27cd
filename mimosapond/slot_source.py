"""Ports through which the holder of a term gets slots and connections."""

from typing import Protocol

from mimosapond.member_address import MemberAddress
from mimosapond.refused import Refused
from mimosapond.target_connection import TargetConnection
from mimosapond.work_ticket import WorkTicket


class HeldSlot(Protocol):
    """A slot with a connection; ``SlotGrant`` implements it."""

    @property
    def connection(self) -> TargetConnection:
        """The data connection that belongs to the grant."""

    def release(self, *, reusable: bool) -> None:
        """Free the slot and the connection."""

    def park(self) -> bool:
        """Free the slot and keep the connection; return False on refusal."""

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Wait for a slot again; return the refusal if there is one."""


class SlotSource(Protocol):
    """Queue of work for one member; ``MemberOwner`` implements it."""

    async def acquire(self, ticket: WorkTicket) -> HeldSlot | Refused:
        """Wait for a slot and a connection."""


class SlotFinder(Protocol):
    """Looks up the queues of this host by the name of the member."""

    def owner(self, member_name: str) -> SlotSource | None:
        """Return the queue of the member, or None if this host has none."""


class SlotSources(Protocol):
    """Queues of this host; ``OwnerRegistry`` implements it."""

    def ensure(self, member: MemberAddress) -> SlotSource:
        """Return the queue of ``member``; create it on first use."""
