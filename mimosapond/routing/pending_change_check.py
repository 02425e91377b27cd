"""Checks in the store that no change of primary is pending.

Such a change pauses the witnesses. A witness that may have started again, and so
have forgotten its pause, proves something only if none is pending. A promotion ends
the pauses, also one by a late call, after which another late call may follow: so the
first commits of each term prove something only if none is pending, either.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final, Protocol, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import FoundRecord
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member

# Time between two reads while another change is pending, or the store is silent.
_PENDING_CHECK_S: Final = 0.1
_UNANSWERED_CHECK_S: Final = 1.0


class RecordSource(Protocol):
    """Reads the records of groups."""

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record of a group; None if the store did not answer."""


class ChangeCheck(Protocol):
    """Tells whether a change of primary may be pending."""

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return whether none was pending at some time after the call."""

    async def is_settled(
        self, group: Group, primary: Member, term: int
    ) -> bool:
        """Return whether no earlier call can replace the primary of a term.

        Parameters
        ----------
        term
            Term of a commit that the primary acknowledged.
        """


@final
@attrs.frozen
class _TermCheck:
    """Whether the primary of a term was found to be settled.

    Parameters
    ----------
    leader
        Id of the primary, and its term.
    valid_until_s
        Time from which the record is read again.
    """

    leader: tuple[str, int]
    is_settled: bool
    valid_until_s: float

    def holds_for(self, leader: tuple[str, int], now_s: float) -> bool:
        """Return whether the result may be used for a primary and a term."""
        return self.leader == leader and now_s < self.valid_until_s


@final
class PendingChangeCheck:
    """Reads the record of a group; concurrent callers share one read."""

    def __init__(
        self,
        records: RecordSource,
        now: Now,
        is_store_reachable: Callable[[], bool],
    ) -> None:
        """Create a check without a read under way.

        Parameters
        ----------
        is_store_reachable
            Tells whether the store answered this host last.
        """
        self._now = now
        self._is_store_reachable = is_store_reachable
        self._records = records
        self._next_reads: dict[str, asyncio.Task[FoundRecord | None]] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._checks: dict[str, _TermCheck] = {}

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return whether the store has neither a claim nor a pending lead.

        The read begins after the call.
        """
        found = await self._read(group)
        if found is None or found.is_claimed:
            return False
        return not found.record.is_change_pending(primary.member_id)

    async def is_settled(
        self, group: Group, primary: Member, term: int
    ) -> bool:
        """Return whether no earlier call can replace the primary of a term.

        The store is read once for each term. While it does not answer, terms
        count as settled: an outage of the store does not stop writes.
        """
        leader = (primary.member_id, term)
        check = self._checks.get(group.name)
        if check is None or not check.holds_for(leader, self._now()):
            check = await self._check_term(group, leader)
            self._checks[group.name] = check
        return check.is_settled

    async def _check_term(
        self, group: Group, leader: tuple[str, int]
    ) -> '_TermCheck':
        found = await self._read(group) if self._is_store_reachable() else None
        if found is None:
            return _TermCheck(leader, True, self._now() + _UNANSWERED_CHECK_S)
        # The monitor of the group ends what is pending.
        group.record = found.record
        if found.record.is_change_pending(leader[0]):
            return _TermCheck(leader, False, self._now() + _PENDING_CHECK_S)
        return _TermCheck(leader, True, math.inf)

    async def _read(self, group: Group) -> FoundRecord | None:
        """Read the record; the read begins after the call."""
        task = self._next_reads.get(group.name)
        if task is None:
            task = asyncio.create_task(self._read_next(group.name))
            self._next_reads[group.name] = task
        return await asyncio.shield(task)

    async def _read_next(self, group: str) -> FoundRecord | None:
        """Read once the read that is under way has ended."""
        async with self._locks.setdefault(group, asyncio.Lock()):
            # Who asks from now on needs a read that begins later.
            self._next_reads.pop(group)
            return await self._records.read_record(group)


@final
class NeverChecked:
    """Cannot tell that no change is pending."""

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return False."""
        return False

    async def is_settled(
        self, group: Group, primary: Member, term: int
    ) -> bool:
        """Return True, as there is no store that records calls."""
        return True
