"""Whether this host reaches what it needs to serve its callers.

A host that is cut off from the members asks to be taken out of rotation, so
that its callers reach hosts that serve them.
"""

import math
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory

# Longer than the primary of a group stays without proof while it is in reach.
_UNREACHABLE_AFTER_S: Final = 0.6
# Longer than a change of primary takes.
_MAX_PROOF_AGE_S: Final = 2.5


@final
class Reachability:
    """Judges by the members in reach and the age of proofs of leadership."""

    def __init__(self, directory: GroupDirectory, now: Now) -> None:
        """Take the groups."""
        self._directory = directory
        self._now = now

    def unreachable_groups(self) -> frozenset[str]:
        """Return the groups that other hosts may reach and this one does not.

        Most of their members are out of reach, and no other host passes on
        work for them.
        """
        now_s = self._now()
        return frozenset(
            group.name
            for group in self._directory.groups.values()
            if group.is_majority_unreachable
            and now_s - group.primary_confirmed_s > _UNREACHABLE_AFTER_S
        )

    def is_sufficient(self) -> bool:
        """Return whether this host serves as well as others may.

        No primary may be unproven for longer than a change of primary takes:
        other hosts may have found the new one.
        """
        now_s = self._now()
        ages_s = [
            now_s - group.primary_confirmed_s
            if group.has_seen_primary
            else math.inf
            for group in self._directory.groups.values()
            if group.members
        ]
        if not ages_s or max(ages_s) > _MAX_PROOF_AGE_S:
            return False
        return not self.unreachable_groups()
