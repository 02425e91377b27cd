"""Protocol through which the member reader uses the holder of a term."""

from typing import Protocol

from mimosapond.group_beacon import GroupBeacon
from mimosapond.group_view import GroupView
from mimosapond.refused import Refused


class BeaconSource(Protocol):
    """Confirms that a term is still in force."""

    view: GroupView

    async def admit(self, deadline_s: float) -> Refused | None:
        """Wait while the primary or the holder is being changed.

        Returns
        -------
        Refused or None
            None if new work may start, otherwise the refusal to answer with.
        """

    async def beacon(self, deadline_s: float) -> GroupBeacon | None:
        """Confirm the term by a round that begins after this call.

        Returns
        -------
        GroupBeacon or None
            None if the term is not confirmed before ``deadline_s``.
        """

    def is_replicated(self, position: int) -> bool:
        """Return whether a majority is known to hold the log up to a position."""
