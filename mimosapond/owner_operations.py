"""Peer operations on the members that this host owns and the terms it holds.

A host that does not own the member or hold the term answers ``not_owner`` or
``not_holder``, and the entry host looks for the current owner or holder.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol, TypeAlias, final

import attrs

from mimosapond import codec
from mimosapond.access_mode import AccessMode
from mimosapond.clock import MS_PER_S, Clock
from mimosapond.errors import refuse
from mimosapond.group_spec import GroupSpec
from mimosapond.group_views import GroupViews
from mimosapond.member_reader import MemberReader
from mimosapond.outcome import Outcome
from mimosapond.peer_port import PeerOperation
from mimosapond.peer_run import PeerRun
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.statement import Statement
from mimosapond.term_holder import TermHolder

_NOT_HOLDER: Final = 'not_holder'
_HolderCall: TypeAlias = Callable[[TermHolder, PeerRun], Awaitable[Outcome]]


class Groups(Protocol):
    """Groups that the service documents declare."""

    def group(self, name: str) -> GroupSpec | None:
        """Return the group called ``name``, or None if it is not declared."""


class Keepers(Protocol):
    """Group keepers that run at this host."""

    async def opinion(self, group: str, term: int) -> bool:
        """Return whether this host can reach the primary of ``term``."""


class Holders(Protocol):
    """Term holders of this host."""

    def holder(self, group_name: str) -> TermHolder | None:
        """Return the holder of the group's term, or None if there is none."""


@final
@attrs.frozen
class OwnerOperations:
    """Operations that peers and the router of this host call.

    Each operation takes the decoded body of the call and returns the body of
    the answer.
    """

    reader: MemberReader
    holders: Holders
    keepers: Keepers
    views: GroupViews
    clock: Clock
    store: Groups
    planned: PlannedSwitchover

    def operations(self) -> Mapping[str, PeerOperation]:
        """Return the operations by name."""
        return {
            'run': self.run,
            'begin': self.begin,
            'confirm': self.confirm,
            'execute': self.execute,
            'commit': self.commit,
            'rollback': self.rollback,
            'settle': self.settle,
            'floor': self.floor,
            'beacon': self.beacon,
            'opinion': self.opinion,
            'handover': self.handover,
            'switchover': self.switchover,
        }

    async def run(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Run a read at a member, or a write at the holder of the term."""
        run = codec.decode(PeerRun, body)
        if run.request.mode is AccessMode.READ:
            return codec.encode(await self.reader.read(run))
        return codec.encode(await self._call_holder(run, TermHolder.write))

    async def begin(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Begin an interactive transaction."""
        run = codec.decode(PeerRun, body)
        return codec.encode(await self._call_holder(run, TermHolder.begin))

    async def confirm(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Confirm that the answer to a begin has arrived.

        The transaction then stays open until it ends or its timeout passes.
        """
        self._holder(body).confirm_begun(body['transaction_id'])
        return {}

    async def execute(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Run statements in an interactive transaction."""
        holder = self._holder(body)
        statements = tuple(
            codec.decode(Statement, raw) for raw in body['statements']
        )
        outcome = await holder.execute(
            body['transaction_id'],
            statements,
            body['deadline_ms'],
        )
        return codec.encode(outcome)

    async def commit(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Commit an interactive transaction."""
        holder = self._holder(body)
        outcome = await holder.commit(
            body['transaction_id'],
            body['deadline_ms'],
        )
        return codec.encode(outcome)

    async def rollback(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Roll an interactive transaction back."""
        holder = self._holder(body)
        outcome = await holder.rollback(
            body['transaction_id'],
            body['deadline_ms'],
        )
        return codec.encode(outcome)

    async def settle(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Determine the final outcome of an earlier request."""
        holder = self._holder(body)
        outcome = await holder.settle(body['request_id'], body['deadline_ms'])
        return codec.encode(outcome)

    async def floor(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return the floor of a session, confirmed by a majority of members.

        The floor is the position that a read of the session must include.
        """
        holder = self._holder(body)
        floor = await holder.floor(body['session_id'], self._deadline_s(body))
        if floor is None:
            raise self._not_holder(body['group'])
        return codec.encode(floor)

    async def beacon(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return the primary's position, confirmed by a majority of members.

        Raises
        ------
        RejectedCallError
            With ``not_confirmed`` if no majority answered in time.
        """
        holder = self._holder(body)
        beacon = await holder.beacon(
            self._deadline_s(body),
            body['max_age_ms'] / MS_PER_S,
        )
        if beacon is None:
            # not_holder would make the caller consider the holder lost.
            raise RejectedCallError('not_confirmed', 'no majority answered')
        return codec.encode(beacon)

    async def opinion(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Return whether this host can reach the primary of a term."""
        reachable = await self.keepers.opinion(body['group'], body['term'])
        return {'reachable': reachable}

    async def handover(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Finish open work and release a term, so that another host takes it.

        ``released`` in the answer tells whether the term was released.
        """
        holder = self._holder(body)
        if holder.view.term != body['term']:
            raise self._not_holder(body['group'])
        released = await holder.release(body['timeout_ms'] / MS_PER_S)
        return {'released': released}

    async def switchover(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Make a member the primary on behalf of an operator."""
        holder = self._holder(body)
        group = self.store.group(body['group'])
        if group is None or holder.view.term != body['term']:
            raise self._not_holder(body['group'])
        moved = await self.planned.move(group, body['member'])
        if isinstance(moved, Refused):
            return {'refused': codec.encode(moved)}
        return {'view': codec.encode(moved)}

    async def _call_holder(self, run: PeerRun, call: _HolderCall) -> Outcome:
        """Call the holder of the term, or its successor on this host.

        If a planned switchover replaced the holder, the work did not run and is
        sent to the successor here. Refusing it would use up the retry budget of
        the entry host.
        """
        clock = self.clock
        started_s = clock.monotonic_s()
        holder = self.holders.holder(run.group)
        if holder is None:
            return _not_owner(run.group)
        outcome = await call(holder, run)
        successor = self.holders.holder(run.group)
        if successor is None or successor is holder:
            return outcome
        if not _is_not_owner(outcome):
            return outcome
        return await call(
            successor, _with_remaining_deadline(run, clock, started_s)
        )

    def _holder(self, body: Mapping[str, Any]) -> TermHolder:
        holder = self.holders.holder(body['group'])
        if holder is None:
            raise self._not_holder(body['group'])
        return holder

    def _not_holder(self, group: str) -> RejectedCallError:
        view = self.views.get(group)
        return RejectedCallError(
            _NOT_HOLDER,
            f'this host does not hold the term of {group}',
            view=None if view is None else codec.encode(view),
        )

    def _deadline_s(self, body: Mapping[str, Any]) -> float:
        timeout_s: float = body['timeout_ms'] / MS_PER_S
        return self.clock.monotonic_s() + timeout_s


def _is_not_owner(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Refused)
        and outcome.reason is RefusalReason.NOT_OWNER
    )


def _with_remaining_deadline(
    run: PeerRun, clock: Clock, started_s: float
) -> PeerRun:
    """Return ``run`` with its deadline reduced by the elapsed time."""
    deadline_ms = run.request.deadline_ms
    if deadline_ms is None:
        return run
    spent_ms = int((clock.monotonic_s() - started_s) * MS_PER_S)
    left_ms = max(1, deadline_ms - spent_ms)
    return attrs.evolve(
        run,
        request=attrs.evolve(run.request, deadline_ms=left_ms),
    )


def _not_owner(group: str) -> Outcome:
    return refuse(RefusalReason.NOT_OWNER, member=f'the primary of {group}')
