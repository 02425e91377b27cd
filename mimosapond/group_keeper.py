"""Detects failures of a group's holder and primary, and replaces them.

The holder is the host that holds the newest term. Each host that owns a member
runs one keeper for the group. A holder or primary is considered lost only when
a fresh connection to it gets no answer either, and a primary is replaced only
when other keepers cannot reach it either.
"""

import asyncio
from typing import Final, final

import attrs

from mimosapond.acquire_attempts import AcquireAttempts
from mimosapond.beacon_watch import Beat, BeaconWatch
from mimosapond.clock import MS_PER_S
from mimosapond.degraded_path import DegradedPath
from mimosapond.group_decisions import GroupDecisions
from mimosapond.group_spec import GroupSpec
from mimosapond.group_survey import GroupSurvey
from mimosapond.group_view import GroupView
from mimosapond.handover_requester import HandoverRequester
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.opinion_collector import Opinions
from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult, TargetSilent
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts

# Number of confirmed checks from one survey of all members to the next. A
# survey finds members that are at another term than the held one.
_SURVEY_INTERVAL_COUNT: Final = 4
# Number of suspicion periods without a confirmed beacon after which a keeper no
# longer waits for the preferred owner, or for a holder that answers but cannot
# confirm its term.
_OVERDUE_PERIOD_COUNT: Final = 2
# Greatest age of a confirmation round that the holder may use for a beacon, in
# beacon intervals. The holder's own rounds are one interval and a round trip
# apart; with a lower ratio, every other pull by the owner of a replica would
# start an additional round.
_MAX_ROUND_AGE_RATIO: Final = 1.5


@final
@attrs.frozen
class _Evidence:
    # Written to the log as part of the evidence, under its own name.
    beat: Beat
    primary: ControlResult
    opinions: Opinions


@final
class GroupKeeper:
    """Watches one group at one host, and acquires terms when needed."""

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
    ) -> None:
        """Create a keeper of ``group`` for the host of ``parts``."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._watch = BeaconWatch(parts, ports)
        self._survey = GroupSurvey(parts, group)
        self._attempts = AcquireAttempts(parts, ports, group)
        self._decisions = GroupDecisions(parts.decisions)
        self._handover = HandoverRequester(parts, ports, group, self._decisions)
        self._confirmed_s = parts.clock.monotonic_s()
        self._term = 0
        self._confirmed_count = 0
        self._has_higher_term = False

    async def run(self) -> None:
        """Check the group once per beacon interval until cancelled."""
        interval_s = self._parts.options.beacon_interval_ms / MS_PER_S
        while True:
            await self.step()
            await self._parts.clock.sleep(interval_s)

    async def step(self) -> None:
        """Check the holder once, and act if it is not confirmed.

        Without a confirmation, the call waits until the suspicion period has
        passed before it acts.
        """
        view = self._ports.views.get(self._group.name)
        if view is None:
            await self._discover_primary()
            return
        self._apply_view(view)
        holder = self._watch.own_holder(view)
        if holder is not None:
            holder.abort_idle()
        beacon = await self._watch.check(
            view,
            fresh=False,
            max_age_ms=int(
                self._parts.options.beacon_interval_ms * _MAX_ROUND_AGE_RATIO,
            ),
        )
        if beacon is Beat.CONFIRMED:
            await self._handle_confirmed(view, holder)
            return
        await self._parts.clock.sleep(
            self._parts.remaining_s(self._confirmed_s + self._suspect_s),
        )
        if not self._is_newer_known(view):
            await self._act_on_suspicion(view)

    async def refresh(self) -> None:
        """Pull one beacon, so that the age of the group's data is known."""
        view = self._ports.views.get(self._group.name)
        if view is not None:
            await self._watch.check(view, fresh=False)

    async def opinion(self, term: int) -> bool:
        """Return whether this host can reach the primary of ``term``.

        A host that knows a newer term returns True, because the asking host
        is outdated and must not promote a member.
        """
        view = self._ports.views.get(self._group.name)
        if view is None:
            known = await self._survey.ask()
            return any(standing.is_primary for standing in known)
        if view.term > term:
            return True
        answer = await self._check_primary(view)
        return not isinstance(answer, TargetSilent)

    @property
    def _suspect_s(self) -> float:
        return self._parts.options.suspect_after_ms / MS_PER_S

    def _apply_view(self, view: GroupView) -> None:
        """Restart the timers and close an outdated holder if the term changed."""
        if view.term == self._term:
            return
        self._term = view.term
        self._confirmed_s = self._parts.clock.monotonic_s()
        self._handover.reset()
        holder = self._ports.registry.holder(view.group)
        if holder is not None and holder.view.term < view.term:
            self._ports.registry.remove(view.group)

    def _is_newer_known(self, view: GroupView) -> bool:
        newest = self._ports.views.get(view.group)
        return newest is not None and newest.term > view.term

    async def _handle_confirmed(
        self,
        view: GroupView,
        holder: TermHolder | None,
    ) -> None:
        self._confirmed_s = self._parts.clock.monotonic_s()
        self._attempts.reset()
        self._ports.degraded.clear(DegradedPath.WRITES_REFUSED, view.group)
        if holder is None:
            if await self._handover.request_if_preferred(
                view, self._check_primary
            ):
                await self._attempts.acquire(keep=view.primary)
        else:
            await self._repair_members(view)
            await self._ports.switchover.move_if_leaving(self._group, holder)

    async def _act_on_suspicion(self, view: GroupView) -> None:
        """Check holder and primary on fresh connections, and act on the results."""
        beacon, primary, opinions = await asyncio.gather(
            self._watch.check(view, fresh=True),
            self._check_primary(view),
            self._ports.opinions.collect(self._group, view.term),
        )
        evidence = _Evidence(beacon, primary, opinions)
        if beacon is Beat.CONFIRMED:
            self._decisions.record(
                view,
                'none',
                'the holder confirms on a fresh connection',
                evidence,
            )
            await self._handle_confirmed(view, self._watch.own_holder(view))
            return
        self._ports.degraded.enter(
            DegradedPath.WRITES_REFUSED,
            view.group,
            str(beacon),
        )
        is_own = self._watch.own_holder(view) is not None
        if beacon is Beat.UNCONFIRMED and not is_own and not self._is_overdue():
            self._decisions.record(
                view,
                'none',
                'the holder answers without confirmation',
                evidence,
            )
        elif isinstance(primary, TargetSilent):
            await self._replace_primary(view, evidence)
        else:
            await self._replace_holder(view, evidence, is_own=is_own)

    def _is_overdue(self) -> bool:
        limit_s = self._confirmed_s + _OVERDUE_PERIOD_COUNT * self._suspect_s
        return not self._parts.remaining_s(limit_s)

    async def _replace_primary(
        self, view: GroupView, evidence: _Evidence
    ) -> None:
        """Promote the newest member if no other keeper reaches the primary."""
        if not evidence.opinions.allow_promotion:
            self._decisions.record(
                view,
                'none',
                'other keepers do not confirm the failure',
                evidence,
            )
            return
        is_own = self._watch.own_holder(view) is not None
        delay_s = 0 if is_own else self._attempts.delay_s(view.primary)
        if await self._attempts.yield_to_others(delay_s):
            return
        self._decisions.record(
            view, 'promote', 'primary is unreachable', evidence
        )
        await self._attempts.acquire(keep=None)

    async def _replace_holder(
        self,
        view: GroupView,
        evidence: _Evidence,
        *,
        is_own: bool,
    ) -> None:
        """Acquire a new term with the same primary if its holder is lost."""
        primary = evidence.primary
        is_leading = (
            isinstance(primary, Standing)
            and primary.is_primary
            and primary.term == view.term
        )
        if is_own and is_leading:
            self._decisions.record(
                view, 'none', 'no majority confirms the term', evidence
            )
            return
        if not is_own and not self._handover.is_preferred_here(view):
            if not self._is_overdue():
                self._decisions.record(
                    view, 'none', 'left to the preferred owner', evidence
                )
                return
            if await self._attempts.yield_to_others(
                self._attempts.delay_s(None)
            ):
                return
        self._decisions.record(view, 'keep', 'holder is lost', evidence)
        await self._attempts.acquire(keep=view.primary)

    async def _check_primary(self, view: GroupView) -> ControlResult:
        primary = self._group.member(view.primary)
        if primary is None:
            return TargetSilent('the document does not list it', sent=False)
        return await self._parts.target.status(
            primary,
            self._parts.check_timeout_s,
            fresh=True,
        )

    async def _repair_members(self, view: GroupView) -> None:
        """Return members that are at another term to replication.

        A member that did not answer during the last change is sent the held
        term. A member that adopted a higher term without a primary refuses
        the log of the held term, so a new term is acquired for the same
        primary. This is done only if two surveys in a row find a higher term,
        because another host may still be promoting a member at the first.
        """
        self._confirmed_count += 1
        if self._confirmed_count % _SURVEY_INTERVAL_COUNT:
            return
        known = await self._survey.ask()
        await self._survey.send_term(view, known)
        had_higher_term = self._has_higher_term
        self._has_higher_term = any(
            standing.term > view.term for standing in known
        )
        if self._has_higher_term and had_higher_term:
            self._decisions.record(
                view, 'keep', 'a member adopted a higher term', known
            )
            await self._attempts.acquire(keep=view.primary)

    async def _discover_primary(self) -> None:
        """Ask the members for the primary when this host knows no view."""
        known = await self._survey.ask()
        if len(known) < self._group.majority_count:
            self._ports.degraded.enter(
                DegradedPath.WRITES_REFUSED,
                self._group.name,
                'no majority of members answers',
            )
            return
        view = self._survey.reported_view(known)
        if view is not None:
            self._decisions.record(
                view, 'adopt_view', 'reported by members', known
            )
            await self._ports.views.merge(view)
            return
        if not self._parts.remaining_s(self._confirmed_s + self._suspect_s):
            await self._promote_first_primary(known)

    async def _promote_first_primary(self, known: tuple[Standing, ...]) -> None:
        """Promote a member when no member is the primary.

        If some members do not answer, one of them may be the primary, so the
        other keepers are asked first.
        """
        is_complete = len(known) == len(self._group.members)
        if not is_complete:
            term = max(standing.term for standing in known)
            opinions = await self._ports.opinions.collect(self._group, term)
            if not opinions.allow_promotion:
                return
        if not await self._attempts.yield_to_others(
            self._attempts.delay_s(None)
        ):
            await self._attempts.acquire(keep=None)
