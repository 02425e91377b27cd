"""Port: everything the product asks of database group members.

A deployment with other targets replaces the one adapter of this port and its
line in the composition root.
"""

from typing import Protocol

from mimosapond.member_address import MemberAddress
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import ControlResult, TargetSilent


class TargetPort(Protocol):
    """Opens data connections and makes control calls.

    Control calls share one kept connection per member. With ``fresh`` a new
    connection is opened and replaces the kept one when it answers: that tells
    a dead connection from a dead member.
    """

    async def connect(
        self,
        member: MemberAddress,
        timeout_s: float,
    ) -> TargetConnection | TargetSilent:
        """Open a data connection."""

    async def status(
        self,
        member: MemberAddress,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        """Ask for the member's standing."""

    async def adopt(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask the member to adopt ``term`` and grant it to ``asker``."""

    async def promote(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Make the member the primary of a term granted to ``asker``."""

    async def await_position(
        self,
        member: MemberAddress,
        term: int,
        position: int,
        timeout_s: float,
    ) -> ControlResult:
        """Wait until the member holds ``position`` of ``term``'s primary."""

    def disconnect(self, member: MemberAddress) -> None:
        """Close the kept control connection."""
