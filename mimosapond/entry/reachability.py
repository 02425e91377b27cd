"""Whether this host reaches what it needs to serve its callers.

A host that is cut off from the members asks to be taken out of rotation, so
that its callers reach hosts that serve them.
"""

import math
from collections.abc import Collection
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory

# Longer than a change of primary takes.
_OVERDUE_AFTER_S: Final = 2.5


@final
class Reachability:
    """Judges by the members in reach and the age of proofs of leadership."""

    def __init__(self, directory: GroupDirectory, now: Now) -> None:
        """Take the groups."""
        self._directory = directory
        self._now = now

    @property
    def is_cut_off(self) -> bool:
        """Whether most members of most groups are out of reach.

        A lost member or primary is no reason: other hosts miss it as well.
        """
        groups = [group for group in self._groups if group.members]
        cut_count = sum(group.is_majority_unreachable for group in groups)
        return cut_count * 2 > len(groups)

    def is_sufficient(self) -> bool:
        """Return whether this host serves as well as others may.

        No primary may be unproven for longer than a change of primary takes:
        other hosts may have found the new one.
        """
        now_s = self._now()
        ages_s = [
            now_s - group.proven_s if group.was_proven else math.inf
            for group in self._groups
            if group.members
        ]
        if not ages_s or max(ages_s) > _OVERDUE_AFTER_S:
            return False
        return not self.is_cut_off

    @property
    def _groups(self) -> Collection[Group]:
        return self._directory.groups.values()
