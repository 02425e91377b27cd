"""What the reader needs of the holder of a group's term."""

from typing import Protocol

from mimosapond.group_beacon import GroupBeacon


class BeaconSource(Protocol):
    """Confirms that a term is still in force."""

    async def beacon(self, deadline_s: float) -> GroupBeacon | None:
        """Confirm the term after this call began; None: not confirmed."""
