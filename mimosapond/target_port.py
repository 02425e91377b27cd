"""Port for all calls to the members of database groups.

To support targets of another kind, replace the adapter of this port and its
line in the composition root.
"""

from typing import Protocol

from mimosapond.member_address import MemberAddress
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import ControlResult, TargetSilent


class TargetPort(Protocol):
    """Opens data connections and makes control calls.

    All control calls to a member share one connection, which stays open. With
    ``fresh`` a new connection is opened, and it replaces the shared connection
    when the member answers. This distinguishes a dead connection from a dead
    member.
    """

    async def connect(
        self,
        member: MemberAddress,
        timeout_s: float,
    ) -> TargetConnection | TargetSilent:
        """Open a data connection to ``member``."""

    async def status(
        self,
        member: MemberAddress,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        """Return the standing of ``member``."""

    async def adopt(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask ``member`` to adopt ``term`` and grant it to host ``asker``."""

    async def promote(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Promote ``member`` to the primary of a term granted to ``asker``."""

    async def await_position(
        self,
        member: MemberAddress,
        term: int,
        position: int,
        timeout_s: float,
    ) -> ControlResult:
        """Wait until ``member`` has the log of ``term`` up to ``position``."""

    def disconnect(self, member: MemberAddress) -> None:
        """Close the shared control connection."""
