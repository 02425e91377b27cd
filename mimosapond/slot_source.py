"""Ports of the terms area to the owner side: slots and connections."""

from typing import Protocol

from mimosapond.member_address import MemberAddress
from mimosapond.refused import Refused
from mimosapond.target_connection import TargetConnection
from mimosapond.work_ticket import WorkTicket


class HeldSlot(Protocol):
    """A slot with a connection, as ``SlotGrant`` gives it."""

    @property
    def connection(self) -> TargetConnection:
        """The data connection that belongs to the grant."""

    def release(self, *, reusable: bool) -> None:
        """Free slot and connection."""

    def park(self) -> bool:
        """Free the slot and keep the connection, where that is allowed."""

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Queue for a slot again."""


class SlotSource(Protocol):
    """Queue of one member, as ``MemberOwner`` gives it."""

    async def acquire(self, ticket: WorkTicket) -> HeldSlot | Refused:
        """Wait for a slot and a connection."""


class SlotFinder(Protocol):
    """Existing queues of this host, by name of the member."""

    def owner(self, member_name: str) -> SlotSource | None:
        """Return the queue of the member, None when there is none here."""


class SlotSources(Protocol):
    """Queues of this host, as ``OwnerRegistry`` gives them."""

    def ensure(self, member: MemberAddress) -> SlotSource:
        """Return the queue of ``member``, created on first use."""
