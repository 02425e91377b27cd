"""Counts the slots and connections of one member that are in use."""

import collections
import math
from typing import final

from mimosapond.duration_class import DurationClass
from mimosapond.invariants import check_invariant
from mimosapond.member_address import MemberAddress
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim


def host_connection_cap_count(member: MemberAddress, share_ratio: float) -> int:
    """Return the number of connections that this host may open to ``member``.

    Parameters
    ----------
    share_ratio
        Share of the connection limit of the member that this host may use. The
        result is at least 1.
    """
    return max(1, math.floor(share_ratio * member.connection_limit_count))


@final
class MemberCapacity:
    """Tracks occupied slots and connections, and enforces their limits.

    Attributes
    ----------
    running_count, long_count
        Occupied slots, and how many of them run long work.
    held_count, keeping_count
        Connections in use, and how many of them may be parked.
    """

    def __init__(self, member: MemberAddress, share_ratio: float) -> None:
        """Start with all slots and connections free."""
        self._member = member.name
        self.slot_count = member.slot_count
        self.connection_cap_count = host_connection_cap_count(
            member, share_ratio
        )
        self.long_limit_count = max(1, self.slot_count - 1)
        # One connection per slot is reserved for work that does not park its
        # connection; such work needs no more connections than slots.
        self.keeping_limit_count = max(
            1, self.connection_cap_count - self.slot_count
        )
        self.running_count = 0
        self.long_count = 0
        self.held_count = 0
        self.keeping_count = 0
        self._held_count_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def free_slot_count(self) -> int:
        """Number of free slots."""
        return self.slot_count - self.running_count

    def allows(self, work: ScheduledWork) -> bool:
        """Return whether ``work`` may start now."""
        return (
            self.allows_duration(work.duration_class)
            and self.allows_claim(work.claim)
            and self.allows_workspace(work)
        )

    def allows_duration(self, duration_class: DurationClass) -> bool:
        """Return whether a slot is available for work of ``duration_class``."""
        match duration_class:
            case DurationClass.SHORT:
                return self.free_slot_count > 0
            case DurationClass.LONG:
                is_below_limit = self.long_count < self.long_limit_count
                return is_below_limit and self.free_slot_count > 0

    def allows_claim(self, claim: WorkClaim) -> bool:
        """Return whether a connection is available, or none is needed."""
        match claim:
            case WorkClaim.SINGLE:
                return self.held_count < self.connection_cap_count
            case WorkClaim.KEEPING:
                is_below_limit = self.keeping_count < self.keeping_limit_count
                return (
                    is_below_limit
                    and self.held_count < self.connection_cap_count
                )
            case WorkClaim.RESUMED:
                return True

    def allows_workspace(self, work: ScheduledWork) -> bool:
        """Return whether the workspace may use one more connection."""
        if work.claim is WorkClaim.RESUMED:
            return True
        held_count = self._held_count_by_workspace.get(work.ticket.workspace, 0)
        return held_count < max(1, work.ticket.connection_limit_count)

    def take_slot(self, work: ScheduledWork) -> None:
        """Occupy a slot for ``work``."""
        self.running_count += 1
        self.long_count += work.is_long
        self.check()

    def free_slot(self, work: ScheduledWork) -> None:
        """Free the slot of ``work``."""
        self.running_count -= 1
        self.long_count -= work.is_long
        self.check()

    def take_connection(self, work: ScheduledWork) -> None:
        """Reserve a connection for ``work``."""
        self.held_count += 1
        self.keeping_count += work.claim is WorkClaim.KEEPING
        self._held_count_by_workspace[work.ticket.workspace] += 1
        self.check()

    def free_connection(self, work: ScheduledWork) -> None:
        """Free the connection of ``work``."""
        workspace = work.ticket.workspace
        self.held_count -= 1
        self.keeping_count -= work.claim is WorkClaim.KEEPING
        self._held_count_by_workspace[workspace] -= 1
        if not self._held_count_by_workspace[workspace]:
            # Without this, the table would grow with each workspace ever seen.
            self._held_count_by_workspace.pop(workspace)
        self.check()

    def keep(self, work: ScheduledWork) -> bool:
        """Let ``work`` keep its connection while it is parked, if allowed.

        Returns
        -------
        bool
            False if the limit of connections that may be parked is reached.
        """
        if work.claim is WorkClaim.KEEPING:
            return True
        if self.keeping_count >= self.keeping_limit_count:
            return False
        work.claim = WorkClaim.KEEPING
        self.keeping_count += 1
        self.check()
        return True

    def check(self) -> None:
        """Check that no limit is exceeded and no count is negative.

        Raises
        ------
        SchedulerInvariantError
            If a count is out of its limits.
        """
        self._check(
            '0 <= running <= slots', self.running_count, self.slot_count
        )
        self._check(
            '0 <= long running <= max(1, slots - 1)',
            self.long_count,
            self.long_limit_count,
        )
        self._check(
            '0 <= held connections <= cap',
            self.held_count,
            self.connection_cap_count,
        )
        self._check(
            '0 <= kept connections <= limit',
            self.keeping_count,
            self.keeping_limit_count,
        )

    def _check(self, rule: str, count: int, limit_count: int) -> None:
        check_invariant(rule, self._member, holds=0 <= count <= limit_count)
