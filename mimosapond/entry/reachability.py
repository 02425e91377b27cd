"""Determines whether this host reaches enough members to serve callers.

A host that is cut off from the members reports that it is not ready. The load
balancer then takes it out of rotation, and callers reach other hosts.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.holding import Holding, HoldsAll

# Longer than the time between two confirmations of a reachable primary.
_UNREACHABLE_AFTER_S: Final = 0.6
# Longer than a change of primary takes.
_MAX_CONFIRMATION_AGE_S: Final = 2.5
_HOLDS_ALL: Final = HoldsAll()


@final
class Reachability:
    """Checks reachable members and the age of primary confirmations."""

    def __init__(
        self,
        directory: GroupDirectory,
        now: Now,
        holding: Holding = _HOLDS_ALL,
    ) -> None:
        """Check the groups in ``directory`` by the time of ``now``.

        Parameters
        ----------
        holding
            Tells which groups this host holds, and whether it reaches the
            holders of the others.
        """
        self._holding = holding
        self._directory = directory
        self._now = now

    def unreachable_groups(self) -> frozenset[str]:
        """Return the groups that only other hosts may be able to reach.

        The majority of their members is unreachable from this host, and no
        other host relays work to their primary.
        """
        now_s = self._now()
        return frozenset(
            group.name
            for group in self._directory.groups.values()
            if self._is_unreachable(group, now_s)
        )

    def is_sufficient(self) -> bool:
        """Return whether no other host is likely to serve callers better.

        A primary that has been unconfirmed for longer than a change of primary
        takes makes the result False, because other hosts may have found the
        new primary. So does an unreachable group, or the lack of any group
        with members.
        """
        groups = [
            group for group in self._directory.groups.values() if group.members
        ]
        if not groups or not all(map(self._is_confirmed, groups)):
            return False
        return not self.unreachable_groups()

    def _is_confirmed(self, group: Group) -> bool:
        if not self._holding.holds(group.name):
            return self._holding.is_reachable(group.name)
        age_s = self._now() - group.primary_confirmed_s
        return group.has_seen_primary and age_s <= _MAX_CONFIRMATION_AGE_S

    def _is_unreachable(self, group: Group, now_s: float) -> bool:
        if not self._holding.holds(group.name):
            return not self._holding.is_reachable(group.name)
        age_s = now_s - group.primary_confirmed_s
        return group.is_majority_unreachable and age_s > _UNREACHABLE_AFTER_S
