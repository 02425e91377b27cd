"""Protocols for looking up hosts, owners and leaving targets."""

from typing import Protocol

from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress


class Hosts(Protocol):
    """Hosts that this host knows."""

    @property
    def own(self) -> HostRecord:
        """Record of this host."""

    def host(self, host_id: str) -> HostRecord | None:
        """Return the host with ``host_id``; None if it is unknown."""


class Owners(Protocol):
    """Placement of members on hosts."""

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the host that should own ``member``; None without hosts."""


class LeavingLookup(Protocol):
    """Targets that take no new work."""

    def is_leaving(self, member_name: str) -> bool:
        """Return whether the target is leaving."""
