"""What the reader needs of the holder of a group's term."""

from typing import Protocol

from mimosapond.group_beacon import GroupBeacon
from mimosapond.group_view import GroupView
from mimosapond.refused import Refused


class BeaconSource(Protocol):
    """Confirms that a term is still in force."""

    view: GroupView

    async def admit(self, deadline_s: float) -> Refused | None:
        """Wait while the primary is being changed; refuse new work after it."""

    async def beacon(self, deadline_s: float) -> GroupBeacon | None:
        """Confirm the term after this call began; None: not confirmed."""

    def is_replicated(self, position: int) -> bool:
        """Return whether a majority is known to hold a log position."""
