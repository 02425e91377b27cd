"""Whether this host reaches what it needs to serve its callers.

A host that is cut off from most primaries asks to be taken out of rotation,
so that its callers reach hosts that serve them.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory

# Longer than the usual change of a primary takes to show.
_LOST_AFTER_S: Final = 1.0


@final
class Reachability:
    """Judges by the age of the proofs of leadership."""

    def __init__(self, directory: GroupDirectory, now: Now) -> None:
        """Take the groups."""
        self._directory = directory
        self._now = now

    def is_sufficient(self) -> bool:
        """Return whether at least half of the primaries are in reach."""
        groups = [
            group for group in self._directory.groups.values() if group.members
        ]
        reached_count = sum(self._is_reached(group) for group in groups)
        return bool(groups) and reached_count * 2 >= len(groups)

    def _is_reached(self, group: Group) -> bool:
        newest = group.observations.newest
        if group.primary is None or newest is None:
            return False
        return self._now() - newest.asked_s < _LOST_AFTER_S
