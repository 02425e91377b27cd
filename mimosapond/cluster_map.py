"""Protocols through which the entry side sees hosts and placement."""

from typing import Protocol

from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress


class Hosts(Protocol):
    """Known hosts."""

    @property
    def own(self) -> HostRecord:
        """This host."""

    def host(self, host_id: str) -> HostRecord | None:
        """Return the host with ``host_id``."""


class Owners(Protocol):
    """Placement of members on hosts."""

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the host that should own ``member``."""


class Leaving(Protocol):
    """Targets that take no new work."""

    def is_leaving(self, member_name: str) -> bool:
        """Tell whether the target is leaving."""
