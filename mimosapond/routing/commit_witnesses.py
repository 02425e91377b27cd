"""Confirms that a commit survives a change of primary.

A member acknowledges a commit once any replica has received it. That replica
may be one that leaves with its log, or one that has just started and that the
hosts elsewhere do not know, so that they do not pause it when they replace the
primary. A commit is therefore acknowledged to its caller only after a replica
that every change of primary has to pause was seen to have it: a witness.

While this host is in contact with the registry and a witness, and no member is
new or leaves, the witnesses receive every commit, and they are not asked.
"""

import asyncio
from collections.abc import Iterator
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_status import MemberStatus
from mimosapond.routing.member_status_request import fetch_member_status

# Time for which a replica has to be registered before it is a witness. A host
# that promotes may have read the registrations up to 4 s before, and its change
# of primary takes up to 3 s.
WITNESS_AGE_S: Final = 7.0
# Age of the last answer of a witness, and of the registrations, up to which no
# part of the group can have been cut off for long. The registrations are read
# every 1.5 s.
_CONTACT_AGE_S: Final = 0.1
_REGISTRATION_AGE_S: Final = 2.5
# Time after which a second witness is asked as well.
_HEDGE_DELAY_S: Final = 0.02
_STATUS_TIMEOUT_S: Final = 0.3
# Pause before the witnesses are asked again; a replica receives a commit some
# milliseconds after the primary.
_RETRY_DELAY_S: Final = 0.005
_MAX_RETRY_DELAY_S: Final = 0.05


@final
class CommitWitnesses:
    """Asks the witnesses of a group for the positions they received."""

    def __init__(self, directory: GroupDirectory, now: Now) -> None:
        """Start without confirmed positions.

        Parameters
        ----------
        directory
            Knows when the registrations were last read.
        now
            Clock of the deadlines.
        """
        self._directory = directory
        self._now = now
        self._confirmed: dict[str, LogPosition] = {}

    async def confirm(
        self,
        group: Group,
        primary: Member,
        position: LogPosition,
        deadline_s: float,
    ) -> bool:
        """Wait until a witness has a position.

        Groups whose members acknowledge without a replica need no witness.

        Parameters
        ----------
        primary
            The member that acknowledged the commit.
        position
            Position of its log after the commit.

        Returns
        -------
        bool
            False if no witness was seen to have it before the deadline, or
            if a newer term began without a proof that it has the position.
        """
        if not group.needs_replica or self._is_confirmed(group, position):
            return True
        if self._is_calm(group, primary):
            return True
        delay_s = _RETRY_DELAY_S
        while self._now() < deadline_s:
            received = await self._ask(
                self._witnesses(group, primary), position
            )
            self._record(group, received)
            if _is_included(position, received):
                return True
            if any(each.term > position.term for each in received):
                return False
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)
        return False

    def _is_calm(self, group: Group, primary: Member) -> bool:
        """Return whether only witnesses can have received a commit."""
        if self._now() - self._directory.read_s > _REGISTRATION_AGE_S:
            return False
        witnesses = self._witnesses(group, primary)
        others = [
            member
            for member in group.members.values()
            if member is not primary and member not in witnesses
        ]
        is_stable = not others and primary.accepts_new_work
        return is_stable and any(
            member.load.had_contact_within(_CONTACT_AGE_S)
            for member in witnesses
        )

    def _witnesses(self, group: Group, primary: Member) -> list[Member]:
        """Return the witnesses, those that answer soonest first."""
        established_s = self._now() - WITNESS_AGE_S
        return sorted(
            (
                member
                for member in group.members.values()
                if member is not primary
                and member.accepts_new_work
                and member.listed_since_s <= established_s
            ),
            key=lambda member: (
                member.load.is_unreachable,
                member.load.latency_s * (1 + member.load.in_flight_count),
            ),
        )

    async def _ask(
        self, witnesses: list[Member], position: LogPosition
    ) -> list[LogPosition]:
        """Ask the witnesses one after another, overlapping if one is slow.

        Returns
        -------
        list of LogPosition
            What the witnesses received that answered until one had the
            position.
        """
        received: list[LogPosition] = []
        pending: set[asyncio.Task[MemberStatus | None]] = set()
        try:
            for task in self._requests(witnesses):
                pending.add(task)
                pending = await _collect(received, pending, _HEDGE_DELAY_S)
                if _is_included(position, received):
                    return received
            while pending:
                pending = await _collect(received, pending, _STATUS_TIMEOUT_S)
                if _is_included(position, received):
                    return received
        finally:
            for task in pending:
                task.add_done_callback(_ignore_result)
        return received

    def _requests(
        self, witnesses: list[Member]
    ) -> Iterator[asyncio.Task[MemberStatus | None]]:
        for member in witnesses:
            yield asyncio.create_task(
                fetch_member_status(member, _STATUS_TIMEOUT_S)
            )

    def _record(self, group: Group, received: list[LogPosition]) -> None:
        known = self._confirmed.get(group.name)
        newest = max(received, default=known)
        if newest is not None and (known is None or known < newest):
            self._confirmed[group.name] = newest

    def _is_confirmed(self, group: Group, position: LogPosition) -> bool:
        known = self._confirmed.get(group.name)
        return known is not None and known.includes(position)


async def _collect(
    received: list[LogPosition],
    pending: set[asyncio.Task[MemberStatus | None]],
    limit_s: float,
) -> set[asyncio.Task[MemberStatus | None]]:
    """Wait for an answer, record it, and return the pending requests."""
    done, still_pending = await asyncio.wait(
        pending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done:
        status = task.result()
        if status is not None:
            received.append(status.received)
    return still_pending


def _is_included(position: LogPosition, received: list[LogPosition]) -> bool:
    return any(each.includes(position) for each in received)


def _ignore_result(task: asyncio.Task[MemberStatus | None]) -> None:
    """Retrieve an error, so that it is not reported as unhandled."""
    if not task.cancelled():
        task.exception()
