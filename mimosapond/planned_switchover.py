"""Moves the primary of a held group to another member without losing a write.

This is done for a primary that is leaving and at an operator's request. The
holder makes the change, because it knows which writes are in flight. The new
primary holds every acknowledged write, because the old primary has to grant the
new term, and the ends of their logs are compared.
"""

import contextlib
from typing import Any, Final, final

import attrs

from mimosapond.cluster_map import LeavingLookup
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

# The sum of these bounds, of the time until all hosts know that a target is
# leaving, and of one keeper interval stays below the 3 s after which a leaving
# target gets no new work.
_TRANSACTION_GRACE_S: Final = 0.8
_INITIAL_CATCH_UP_TIMEOUT_S: Final = 0.4
_IN_FLIGHT_TIMEOUT_S: Final = 0.4
_CATCH_UP_TIMEOUT_S: Final = 0.4
# A commit during the change makes the old primary the newest member again, and
# the change has to be repeated.
_ATTEMPT_COUNT: Final = 3
_RETRY_AFTER_MS: Final = 1000


@final
@attrs.frozen
class _Switchover:
    group: GroupSpec
    holder: TermHolder
    candidates: tuple[MemberAddress, ...]


@final
class PlannedSwitchover:
    """Makes planned changes of primary, one per group at a time."""

    def __init__(
        self,
        parts: TermParts,
        acquirer: TermAcquirer,
        registry: TermRegistry,
        leaving: LeavingLookup,
    ) -> None:
        """Create a switchover for the groups that this host holds.

        Parameters
        ----------
        parts
            Ports and settings of this host.
        acquirer
            Acquires the new term.
        registry
            Holders of this host.
        leaving
            Targets that no primary is moved to.
        """
        self._parts = parts
        self._acquirer = acquirer
        self._registry = registry
        self._leaving = leaving
        self._moving_groups: set[str] = set()

    async def move_if_leaving(
        self, group: GroupSpec, holder: TermHolder
    ) -> None:
        """Move the primary if it is leaving; if that fails, block writes.

        No acknowledged write is given up for the move: until another member
        has caught up, writes are refused without being run.
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
        """Make another member the primary.

        Parameters
        ----------
        group
            The group with its members.
        member
            The new primary. None selects a member that has caught up and is
            not leaving, preferably in this host's data centre.

        Returns
        -------
        GroupView or Refused
            The new view, or the current one if ``member`` is the primary
            already; a refusal if the primary was not moved to such a member.
        """
        holder = self._registry.holder(group.name)
        if holder is None or not holder.gate.is_open:
            return _failed(group, member, 'its holder is changing')
        if group.name in self._moving_groups:
            return _failed(
                group, member, 'another change of the primary is in progress'
            )
        if holder.view.primary == member:
            return holder.view
        candidates = self._candidates(group, holder, member)
        self._moving_groups.add(group.name)
        try:
            moved = await self._move(_Switchover(group, holder, candidates))
        finally:
            self._moving_groups.discard(group.name)
        self._record(group, holder, moved)
        return moved

    def _candidates(
        self,
        group: GroupSpec,
        holder: TermHolder,
        member: str | None,
    ) -> tuple[MemberAddress, ...]:
        """Return the possible new primaries, those of this data centre first."""
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

    async def _move(self, move: _Switchover) -> GroupView | Refused:
        gate = move.holder.gate
        await gate.wait_transactions(
            lambda: move.holder.open_transaction_count,
            _TRANSACTION_GRACE_S,
        )
        # This first wait does not stop writes, so that the second one, which
        # does, takes only as long as the last log entries. If no candidate
        # reaches the primary's position in time, writes are not stopped.
        nearest = await self._find_caught_up(move, _INITIAL_CATCH_UP_TIMEOUT_S)
        if nearest is None:
            return self._refuse_not_caught_up(move)
        with contextlib.ExitStack() as pauses:
            pauses.enter_context(gate.paused())
            await gate.wait_idle(_IN_FLIGHT_TIMEOUT_S)
            return await self._switch_over(move, pauses)

    async def _switch_over(
        self,
        move: _Switchover,
        pauses: contextlib.ExitStack,
    ) -> GroupView | Refused:
        for _ in range(_ATTEMPT_COUNT):
            ready = await self._find_caught_up(move, _CATCH_UP_TIMEOUT_S)
            if ready is None:
                return self._refuse_not_caught_up(move)
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
        return _failed(
            move.group, None, 'the primary committed writes during the change'
        )

    async def _find_caught_up(
        self,
        move: _Switchover,
        timeout_s: float,
    ) -> MemberAddress | None:
        """Wait for a candidate to reach the primary's current position.

        Returns
        -------
        MemberAddress or None
            The first candidate that has reached it; None if none does so
            within ``timeout_s``, or if the primary does not answer.
        """
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
            lambda known: self._has_preferred(move, known),
        )
        reached = {standing.member for standing in standings(answers)}
        return next(
            (member for member in move.candidates if member.name in reached),
            None,
        )

    def _has_preferred(self, move: _Switchover, known: Answers) -> bool:
        """Return whether further answers cannot lead to a better choice.

        A candidate in this data centre is preferred; if there is none, any
        candidate will do.
        """
        reached = {standing.member for standing in standings(known)}
        own = self._parts.options.data_centre
        preferred = {
            member.name
            for member in move.candidates
            if member.data_centre == own
        }
        return bool(reached & preferred if preferred else reached)

    def _refuse_not_caught_up(self, move: _Switchover) -> Refused:
        names = ', '.join(member.name for member in move.candidates)
        if not names:
            return _failed(move.group, None, 'all other members are leaving')
        return _failed(
            move.group,
            names,
            'it has not caught up with the primary in time',
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
