"""Moves the primary of a held group to another member without losing a write.

Used for a primary that is leaving and for operators. The change is made by the
holder, which knows what is in flight; all that was acknowledged is on the new
primary, because the old one grants the new term and its log end is compared.
"""

import contextlib
from typing import Any, Final, final

import attrs

from mimosapond.cluster_map import Leaving
from mimosapond.errors import refuse
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.member_address import MemberAddress
from mimosapond.member_survey import Answers, standings, survey
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.standing import Standing
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry

# Together with the spread of the mark and one keeper interval, these bounds
# stay below the 3 s after which a leaving target gets no new work.
_TRANSACTION_GRACE_S: Final = 0.8
_FIRST_CATCH_UP_S: Final = 0.4
_IN_FLIGHT_S: Final = 0.4
_CATCH_UP_S: Final = 0.4
# A commit that meets the change makes the old primary newer once more.
_TRY_COUNT: Final = 3
_RETRY_AFTER_MS: Final = 1000


@final
@attrs.frozen
class _Move:
    group: GroupSpec
    holder: TermHolder
    candidates: tuple[MemberAddress, ...]


@final
class PlannedSwitchover:
    """At most one change per group at a time."""

    def __init__(
        self,
        parts: TermParts,
        acquirer: TermAcquirer,
        registry: TermRegistry,
        leaving: Leaving,
    ) -> None:
        """Change the groups held by the host of ``parts``."""
        self._parts = parts
        self._acquirer = acquirer
        self._registry = registry
        self._leaving = leaving
        self._moving: set[str] = set()

    async def follow(self, group: GroupSpec, holder: TermHolder) -> None:
        """Move the primary if it is leaving; without success, block writes.

        Nothing acknowledged is given up for the move: while no other member
        has caught up, writes are refused as not run.
        """
        if not self._leaving.is_leaving(holder.view.primary):
            holder.gate.is_blocked = False
            return
        moved = await self.move(group, None)
        newest = self._registry.holder(group.name)
        if isinstance(moved, Refused) and newest is not None:
            newest.gate.is_blocked = True

    async def move(
        self,
        group: GroupSpec,
        member: str | None,
    ) -> GroupView | Refused:
        """Make ``member``, or the best other member, the primary.

        Returns
        -------
        GroupView or Refused
            Refused when the primary is the same as before.
        """
        holder = self._registry.holder(group.name)
        if holder is None or not holder.gate.is_open:
            return _failed(group, member, 'its holder is changing')
        if group.name in self._moving:
            return _failed(group, member, 'another change is in progress')
        if holder.view.primary == member:
            return holder.view
        candidates = self._candidates(group, holder, member)
        self._moving.add(group.name)
        try:
            moved = await self._move(_Move(group, holder, candidates))
        finally:
            self._moving.discard(group.name)
        self._record(group, holder, moved)
        return moved

    def _candidates(
        self,
        group: GroupSpec,
        holder: TermHolder,
        member: str | None,
    ) -> tuple[MemberAddress, ...]:
        """Return the members that may lead, this data centre's first."""
        own = self._parts.options.data_centre
        candidates = [
            other
            for other in group.members
            if other.name != holder.view.primary
            and member in {None, other.name}
            and not self._leaving.is_leaving(other.name)
        ]
        candidates.sort(key=lambda other: other.data_centre != own)
        return tuple(candidates)

    async def _move(self, move: _Move) -> GroupView | Refused:
        gate = move.holder.gate
        await gate.wait_transactions(
            lambda: move.holder.open_transaction_count,
            _TRANSACTION_GRACE_S,
        )
        # While writes go on, so that they wait only for the last entries. A
        # member that is far behind now gets no writes stopped for it.
        nearly = await self._caught_up(move, _FIRST_CATCH_UP_S)
        if nearly is None:
            return self._not_caught_up(move)
        with contextlib.ExitStack() as pauses:
            pauses.enter_context(gate.paused())
            await gate.wait_idle(_IN_FLIGHT_S)
            return await self._change(move, pauses)

    async def _change(
        self,
        move: _Move,
        pauses: contextlib.ExitStack,
    ) -> GroupView | Refused:
        for _ in range(_TRY_COUNT):
            ready = await self._caught_up(move, _CATCH_UP_S)
            if ready is None:
                return self._not_caught_up(move)
            view = await self._acquirer.acquire(move.group, keep=ready.name)
            if view is None:
                return _failed(move.group, ready.name, 'no term was acquired')
            if view.primary == ready.name:
                return view
            holder = self._registry.holder(move.group.name)
            if holder is None:
                break
            pauses.enter_context(holder.gate.paused())
            holder.gate.is_blocked = False
            move = attrs.evolve(move, holder=holder)
        return _failed(move.group, None, 'the primary went on committing')

    async def _caught_up(
        self,
        move: _Move,
        timeout_s: float,
    ) -> MemberAddress | None:
        """Return the first candidate that holds the primary's position."""
        primary = move.group.member(move.holder.view.primary)
        if primary is None or not move.candidates:
            return None
        status = await self._parts.target.status(
            primary,
            self._parts.check_timeout_s,
        )
        if not isinstance(status, Standing):
            return None
        answers = await survey(
            {
                member.name: self._parts.target.await_position(
                    member,
                    status.term,
                    status.position,
                    timeout_s,
                )
                for member in move.candidates
            },
            lambda known: self._is_enough(move, known),
        )
        reached = {standing.member for standing in standings(answers)}
        return next(
            (member for member in move.candidates if member.name in reached),
            None,
        )

    def _is_enough(self, move: _Move, known: Answers) -> bool:
        """Tell whether no member that is still asked would be preferred."""
        reached = {standing.member for standing in standings(known)}
        own = self._parts.options.data_centre
        preferred = {
            member.name
            for member in move.candidates
            if member.data_centre == own
        }
        return bool(reached & preferred if preferred else reached)

    def _not_caught_up(self, move: _Move) -> Refused:
        names = ', '.join(member.name for member in move.candidates)
        if not names:
            return _failed(move.group, None, 'all other members are leaving')
        return _failed(
            move.group,
            names,
            'it has not reached the position of the primary in time',
        )

    def _record(
        self,
        group: GroupSpec,
        holder: TermHolder,
        moved: GroupView | Refused,
    ) -> None:
        self._parts.decisions.record(
            'switchover',
            moved.message if isinstance(moved, Refused) else 'done',
            group=group.name,
            term=holder.view.term,
            previous=holder.view.primary,
            primary='' if isinstance(moved, Refused) else moved.primary,
        )


def _failed(group: GroupSpec, member: Any, problem: str) -> Refused:
    return refuse(
        RefusalReason.PROMOTION_FAILED,
        group=group.name,
        member='another member' if member is None else member,
        problem=problem,
        retry_after_ms=_RETRY_AFTER_MS,
    )
