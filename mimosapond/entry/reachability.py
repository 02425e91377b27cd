"""Whether this host reaches what it needs to serve its callers.

A host that is cut off from primaries asks to be taken out of rotation, so that
its callers reach hosts that serve them.
"""

import math
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory

# Longer than the usual change of a primary takes to show.
_LOST_AFTER_S: Final = 1.0
_OVERDUE_AFTER_S: Final = 2.5


@final
class Reachability:
    """Judges by the age of the proofs of leadership."""

    def __init__(self, directory: GroupDirectory, now: Now) -> None:
        """Take the groups."""
        self._directory = directory
        self._now = now

    def is_sufficient(self) -> bool:
        """Return whether this host serves as well as others may.

        Half of the primaries have to be in reach now, and none may be out of
        reach for longer than a change of primary takes: other hosts may have
        found the new one.
        """
        now_s = self._now()
        ages_s = [
            now_s - group.proven_s if group.was_proven else math.inf
            for group in self._directory.groups.values()
            if group.members
        ]
        if not ages_s or max(ages_s) > _OVERDUE_AFTER_S:
            return False
        lost_count = sum(age_s > _LOST_AFTER_S for age_s in ages_s)
        return lost_count * 2 <= len(ages_s)
