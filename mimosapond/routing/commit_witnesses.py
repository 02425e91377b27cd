"""Confirms that a commit survives a change of primary.

A member acknowledges a commit once any replica has received it. That replica
may be one that leaves with its log, or one that has just started and that the
hosts elsewhere do not know, so that they do not pause it when they replace the
primary. A commit is therefore acknowledged to its caller only after a replica
that every change of primary has to pause was seen to have it: a witness. The
witnesses are processes in the record of the group (``groups/group_record``).

The witnesses are asked for each commit. A witness that answers reads may be
paused or cut off from the primary, so contact with it proves nothing. At first
they are asked what they have applied, which takes none of their slots, and later
what they have received.
"""

import asyncio
import enum
from typing import Final, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess
from mimosapond.routing.member_position_request import (
    ReportedPosition,
    fetch_applied,
    fetch_received,
)
from mimosapond.routing.pending_change_check import ChangeCheck, NeverChecked

# Time after which a second witness is asked as well.
_HEDGE_DELAY_S: Final = 0.02
_ANSWER_TIMEOUT_S: Final = 0.3
# Time within which a replica usually applies a commit. Later, it is asked what it
# has received.
_APPLY_TIME_S: Final = 0.025
# Pause before the witnesses are asked, and asked again.
_RETRY_DELAY_S: Final = 0.005
_MAX_RETRY_DELAY_S: Final = 0.05
_NEVER_CHECKED: Final = NeverChecked()


@final
class Confirmation(enum.Enum):
    """What became of the proof that a commit survives.

    Attributes
    ----------
    witnessed
        A witness has it.
    not_seen
        No witness was seen to have it before the deadline.
    in_doubt
        One that has it may have started again, and so may have forgotten that a
        change of primary paused it.
    undone
        A newer term began without a proof that it has the commit.
    not_settled
        An earlier promotion call may still replace its primary.
    """

    witnessed = 'witnessed'
    not_seen = 'not_seen'
    in_doubt = 'in_doubt'
    undone = 'undone'
    not_settled = 'not_settled'


@final
class _NoProof(enum.Enum):
    """Why no witness proves that a commit survives.

    Attributes
    ----------
    open
        No witness that answered has it yet.
    impossible
        A newer term began, and no witness that answered has the commit.
    """

    open = 'open'
    impossible = 'impossible'


@final
class CommitWitnesses:
    """Asks the witnesses of a group for the positions they received."""

    def __init__(self, now: Now, changes: ChangeCheck = _NEVER_CHECKED) -> None:
        """Use a clock for the deadlines.

        Parameters
        ----------
        changes
            Checks that no change is pending if the process of a witness may
            have started again.
        """
        self._now = now
        self._changes = changes

    def may_confirm(self, group: Group, primary: Member) -> bool:
        """Return whether any replica could witness a commit now."""
        return not group.needs_replica or bool(find_witnesses(group, primary))

    async def confirm(
        self,
        group: Group,
        primary: Member,
        position: LogPosition,
        deadline_s: float,
    ) -> Confirmation:
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
        Confirmation
            Why the commit may be acknowledged, or may not.
        """
        if not group.needs_replica:
            group.acknowledgements.add(position, primary.record.process, None)
            return Confirmation.witnessed
        with group.confirmations.confirming(self._now()):
            return await self._await_proof(group, primary, position, deadline_s)

    async def _await_proof(
        self,
        group: Group,
        primary: Member,
        position: LogPosition,
        deadline_s: float,
    ) -> Confirmation:
        """Ask the witnesses until one has a position or none can have it."""
        requests = _PositionRequests(position, self._now)
        delay_s = _RETRY_DELAY_S
        result = Confirmation.not_seen
        try:
            while self._now() < deadline_s:
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)
                witnesses = find_witnesses(group, primary)
                proof = await _ask_witnesses(requests, witnesses, position)
                if proof is _NoProof.impossible:
                    return Confirmation.undone
                if proof is not _NoProof.open:
                    result = await self._judge(group, primary, position, proof)
                if result is Confirmation.witnessed:
                    return result
        finally:
            requests.abandon()
        return result

    async def _judge(
        self,
        group: Group,
        primary: Member,
        position: LogPosition,
        report: '_Report',
    ) -> Confirmation:
        """Return whether the report of a commit proves that it survives."""
        if not (
            report.is_process_certain
            or await self._changes.is_none_pending(group, primary)
        ):
            return Confirmation.in_doubt
        if not await self._changes.is_settled(group, primary, position.term):
            return Confirmation.not_settled
        leader = primary.record.process
        group.acknowledgements.add(position, leader, report.process)
        return Confirmation.witnessed


@final
@attrs.frozen
class _Report:
    """A position that a process of a member reported."""

    process: MemberProcess
    position: LogPosition
    is_process_certain: bool


@final
class _PositionRequests:
    """Requests of the positions of witnesses, one at a time for each."""

    def __init__(self, position: LogPosition, now: Now) -> None:
        self._position = position
        self._now = now
        self._asks_applied_until_s = now() + _APPLY_TIME_S
        self._pending: dict[str, asyncio.Task[_Report | None]] = {}

    async def ask(self, member: Member) -> list[_Report]:
        """Ask a member, and return what has been answered by it or others.

        A member that has not answered an earlier request is not asked again.
        The wait ends with the first answer, or after the hedge delay.
        """
        if member.member_id not in self._pending:
            self._pending[member.member_id] = asyncio.create_task(
                self._fetch(member)
            )
        await asyncio.wait(
            self._pending.values(),
            timeout=_HEDGE_DELAY_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = {
            member_id: task
            for member_id, task in self._pending.items()
            if task.done()
        }
        for member_id in done:
            self._pending.pop(member_id)
        answers = [task.result() for task in done.values()]
        return [each for each in answers if each is not None]

    def abandon(self) -> None:
        """Ignore the requests that are still under way."""
        for task in self._pending.values():
            task.add_done_callback(_ignore_result)

    async def _fetch(self, member: Member) -> _Report | None:
        process = member.record.process
        found = await self._fetch_position(member)
        if found is None:
            return None
        return _Report(process, found.position, found.is_process_certain)

    async def _fetch_position(self, member: Member) -> ReportedPosition | None:
        if self._now() < self._asks_applied_until_s:
            return await fetch_applied(
                member, self._position, _ANSWER_TIMEOUT_S
            )
        return await fetch_received(member, _ANSWER_TIMEOUT_S)


def find_witnesses(group: Group, primary: Member) -> list[Member]:
    """Return the members that may witness commits, the fastest first."""
    record = group.record
    return sorted(
        (
            member
            for member in group.members.values()
            if member.member_id != primary.member_id
            and member.accepts_new_work
            and record is not None
            and record.has_witness(member.record.process)
        ),
        key=lambda member: (
            member.load.is_unreachable,
            member.load.latency_s * (1 + member.load.in_flight_count),
        ),
    )


async def _ask_witnesses(
    requests: _PositionRequests, witnesses: list[Member], position: LogPosition
) -> _Report | _NoProof:
    """Ask the witnesses one after another until one has a position.

    Returns
    -------
    _Report or _NoProof
        The report of the process that has it.
    """
    reports: list[_Report] = []
    for member in witnesses:
        reports += await requests.ask(member)
        for report in reports:
            if report.position.includes(position):
                return report
    if any(each.position.term > position.term for each in reports):
        return _NoProof.impossible
    return _NoProof.open


def _ignore_result(task: asyncio.Task[_Report | None]) -> None:
    """Retrieve an error, so that it is not reported as unhandled."""
    if not task.cancelled():
        task.exception()
