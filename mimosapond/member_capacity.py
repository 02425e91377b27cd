"""Counts the slots and connections of one member that are in use."""

import collections
import math
from typing import final

from mimosapond.invariants import check_invariant
from mimosapond.member_address import MemberAddress
from mimosapond.waiting_work import WaitingWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_pace import WorkPace


def connection_cap_count(member: MemberAddress, share_ratio: float) -> int:
    """Return the connections that this host may open to ``member``."""
    return max(1, math.floor(share_ratio * member.connection_limit_count))


@final
class MemberCapacity:
    """Slots, connections and workspace counts, with the limits of each.

    Attributes
    ----------
    running_count, long_count
        Occupied slots, and those of them with long work.
    held_count, keeping_count
        Connections in use, and those of them that may be parked.
    """

    def __init__(self, member: MemberAddress, share_ratio: float) -> None:
        """Start with everything free."""
        self._member = member.name
        self.slot_count = member.slot_count
        self.cap_count = connection_cap_count(member, share_ratio)
        self.long_limit_count = max(1, self.slot_count - 1)
        # Single statements need no more connections than there are slots.
        self.keeping_limit_count = max(1, self.cap_count - self.slot_count)
        self.running_count = 0
        self.long_count = 0
        self.held_count = 0
        self.keeping_count = 0
        self._held_counts: collections.Counter[str] = collections.Counter()

    @property
    def free_slot_count(self) -> int:
        """Slots without work."""
        return self.slot_count - self.running_count

    def allows(self, work: WaitingWork) -> bool:
        """Tell whether ``work`` may start now."""
        return (
            self.allows_pace(work.pace)
            and self.allows_claim(work.claim)
            and self.allows_workspace(work)
        )

    def allows_pace(self, pace: WorkPace) -> bool:
        """Tell whether a slot may be taken by work of ``pace``."""
        match pace:
            case WorkPace.SHORT:
                return self.free_slot_count > 0
            case WorkPace.LONG:
                has_room = self.long_count < self.long_limit_count
                return has_room and self.free_slot_count > 0

    def allows_claim(self, claim: WorkClaim) -> bool:
        """Tell whether a connection is available where one is needed."""
        match claim:
            case WorkClaim.SINGLE:
                return self.held_count < self.cap_count
            case WorkClaim.KEEPING:
                has_room = self.keeping_count < self.keeping_limit_count
                return has_room and self.held_count < self.cap_count
            case WorkClaim.RESUMED:
                return True

    def allows_workspace(self, work: WaitingWork) -> bool:
        """Tell whether the workspace may hold one more connection."""
        if work.claim is WorkClaim.RESUMED:
            return True
        held_count = self._held_counts.get(work.ticket.workspace, 0)
        return held_count < max(1, work.ticket.connection_limit_count)

    def take_slot(self, work: WaitingWork) -> None:
        """Count ``work`` as running."""
        self.running_count += 1
        self.long_count += work.is_long
        self.check()

    def free_slot(self, work: WaitingWork) -> None:
        """Count ``work`` as no longer running."""
        self.running_count -= 1
        self.long_count -= work.is_long
        self.check()

    def take_connection(self, work: WaitingWork) -> None:
        """Count a connection for ``work``."""
        self.held_count += 1
        self.keeping_count += work.claim is WorkClaim.KEEPING
        self._held_counts[work.ticket.workspace] += 1
        self.check()

    def free_connection(self, work: WaitingWork) -> None:
        """Give back the connection of ``work``."""
        workspace = work.ticket.workspace
        self.held_count -= 1
        self.keeping_count -= work.claim is WorkClaim.KEEPING
        self._held_counts[workspace] -= 1
        if not self._held_counts[workspace]:
            # Workspaces come and go; the table must not grow with them.
            self._held_counts.pop(workspace)
        self.check()

    def keep(self, work: WaitingWork) -> bool:
        """Let single work keep its connection while parked, if allowed."""
        if work.claim is WorkClaim.KEEPING:
            return True
        if self.keeping_count >= self.keeping_limit_count:
            return False
        work.claim = WorkClaim.KEEPING
        self.keeping_count += 1
        self.check()
        return True

    def check(self) -> None:
        """Check that no limit is exceeded and no count is negative."""
        self._check(
            '0 <= running <= slots', self.running_count, self.slot_count
        )
        self._check(
            '0 <= long running <= max(1, slots - 1)',
            self.long_count,
            self.long_limit_count,
        )
        self._check(
            '0 <= held connections <= cap', self.held_count, self.cap_count
        )
        self._check(
            '0 <= kept connections <= limit',
            self.keeping_count,
            self.keeping_limit_count,
        )

    def _check(self, rule: str, level: int, limit: int) -> None:
        check_invariant(rule, self._member, holds=0 <= level <= limit)
