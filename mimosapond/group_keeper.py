"""Detects failures of a group's holder and primary, and acts on them.

Each owner of a member runs one keeper for the group. A component is suspected
only after a fresh connection to it stayed silent too, and a primary is
replaced only when other keepers can't reach it either.
"""

import asyncio
from typing import Final, final

import attrs

from mimosapond.acquire_attempts import AcquireAttempts
from mimosapond.beacon_watch import BeaconWatch, Beat
from mimosapond.clock import MS_PER_S
from mimosapond.degraded_path import DegradedPath
from mimosapond.group_decisions import GroupDecisions
from mimosapond.group_spec import GroupSpec
from mimosapond.group_survey import GroupSurvey
from mimosapond.group_view import GroupView
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.opinion_collector import Opinions
from mimosapond.owner_preference import OwnerPreference
from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult, TargetSilent
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts

# Beacon intervals between surveys for members left at an unled term.
_SURVEY_COUNT: Final = 4
# After this many suspicion periods a keeper no longer waits for the preferred
# owner, or for a holder that answers but can't confirm its term.
_PATIENCE_FACTOR: Final = 2
# The holder's own rounds are one interval and a round trip apart; with less
# slack, every other pull of a replica's owner would begin one more.
_ROUND_AGE_RATIO: Final = 1.5


@final
@attrs.frozen
class _Evidence:
    beat: Beat
    primary: ControlResult
    opinions: Opinions


@final
class GroupKeeper:
    """Keeper of one group at one host."""

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
    ) -> None:
        """Keep ``group`` for the host of ``parts``."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._watch = BeaconWatch(parts, ports)
        self._survey = GroupSurvey(parts, group)
        self._attempts = AcquireAttempts(parts, ports, group)
        self._decisions = GroupDecisions(parts.decisions)
        self._preference = OwnerPreference(parts, ports, group, self._decisions)
        self._healthy_s = parts.clock.monotonic_s()
        self._term = 0
        self._step_count = 0
        self._is_unled = False

    async def run(self) -> None:
        """Keep the group until cancelled."""
        interval_s = self._parts.options.beacon_interval_ms / MS_PER_S
        while True:
            await self.step()
            await self._parts.clock.sleep(interval_s)

    async def step(self) -> None:
        """Make one check and act on what it shows."""
        view = self._ports.views.get(self._group.name)
        if view is None:
            await self._find_group()
            return
        self._follow(view)
        holder = self._watch.own_holder(view)
        if holder is not None:
            holder.abort_idle()
        beat = await self._watch.check(
            view,
            fresh=False,
            max_age_ms=int(
                self._parts.options.beacon_interval_ms * _ROUND_AGE_RATIO,
            ),
        )
        if beat is Beat.CONFIRMED:
            await self._after_confirmed(view, holder)
            return
        await self._parts.clock.sleep(
            self._parts.remaining_s(self._healthy_s + self._suspect_s),
        )
        if not self._is_newer_known(view):
            await self._suspect(view)

    async def refresh(self) -> None:
        """Pull one beacon to date the group's data."""
        view = self._ports.views.get(self._group.name)
        if view is not None:
            await self._watch.check(view, fresh=False)

    async def opinion(self, term: int) -> bool:
        """Tell whether this host can reach the primary of ``term``.

        A host that knows a newer term says yes: the asker is outdated and
        must not promote.
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

    def _follow(self, view: GroupView) -> None:
        """Restart the timers at a newer term and close an older holder."""
        if view.term == self._term:
            return
        self._term = view.term
        self._healthy_s = self._parts.clock.monotonic_s()
        self._preference.restart()
        holder = self._ports.registry.holder(view.group)
        if holder is not None and holder.view.term < view.term:
            self._ports.registry.remove(view.group)

    def _is_newer_known(self, view: GroupView) -> bool:
        newest = self._ports.views.get(view.group)
        return newest is not None and newest.term > view.term

    async def _after_confirmed(
        self,
        view: GroupView,
        holder: TermHolder | None,
    ) -> None:
        self._healthy_s = self._parts.clock.monotonic_s()
        self._attempts.succeed()
        self._ports.degraded.clear(DegradedPath.WRITES_REFUSED, view.group)
        if holder is None:
            if await self._preference.takes_over(view, self._check_primary):
                await self._attempts.acquire(keep=view.primary)
        else:
            await self._heal(view)
            await self._ports.planned.follow(self._group, holder)

    async def _suspect(self, view: GroupView) -> None:
        """Check everything on fresh connections, then act."""
        beat, primary, opinions = await asyncio.gather(
            self._watch.check(view, fresh=True),
            self._check_primary(view),
            self._ports.opinions.collect(self._group, view.term),
        )
        evidence = _Evidence(beat, primary, opinions)
        if beat is Beat.CONFIRMED:
            self._decisions.record(
                view, 'none', 'a new connection answers', evidence
            )
            await self._after_confirmed(view, self._watch.own_holder(view))
            return
        self._ports.degraded.enter(
            DegradedPath.WRITES_REFUSED,
            view.group,
            str(beat),
        )
        is_own = self._watch.own_holder(view) is not None
        if beat is Beat.UNCONFIRMED and not is_own and not self._is_overdue():
            self._decisions.record(view, 'none', 'left to the holder', evidence)
        elif isinstance(primary, TargetSilent):
            await self._replace(view, evidence)
        else:
            await self._keep(view, evidence, is_own=is_own)

    def _is_overdue(self) -> bool:
        limit_s = self._healthy_s + _PATIENCE_FACTOR * self._suspect_s
        return not self._parts.remaining_s(limit_s)

    async def _replace(self, view: GroupView, evidence: _Evidence) -> None:
        """Promote the newest member if others don't reach the primary."""
        if not evidence.opinions.allow_promotion:
            self._decisions.record(
                view, 'none', 'no support of other keepers', evidence
            )
            return
        is_own = self._watch.own_holder(view) is not None
        delay_s = 0 if is_own else self._attempts.delay_s(view.primary)
        if await self._attempts.yield_to_others(delay_s):
            return
        self._decisions.record(view, 'promote', 'primary is silent', evidence)
        await self._attempts.acquire(keep=None)

    async def _keep(
        self,
        view: GroupView,
        evidence: _Evidence,
        *,
        is_own: bool,
    ) -> None:
        """Acquire a term for the same primary where its holder is lost."""
        primary = evidence.primary
        is_leading = (
            isinstance(primary, Standing)
            and primary.is_primary
            and primary.term == view.term
        )
        if is_own and is_leading:
            self._decisions.record(
                view, 'none', 'no majority of members', evidence
            )
            return
        if not is_own and not self._preference.is_own(view):
            if not self._is_overdue():
                self._decisions.record(
                    view, 'none', 'left to preferred owner', evidence
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

    async def _heal(self, view: GroupView) -> None:
        """Bring back members that are at another term.

        A member that was silent during the change gets the term now. One that
        adopted a higher term which nobody leads refuses the log of the held
        term; a promoter that is still at work gets until the next survey.
        """
        self._step_count += 1
        if self._step_count % _SURVEY_COUNT:
            return
        known = await self._survey.ask()
        await self._survey.bring_up(view, known)
        was_unled = self._is_unled
        self._is_unled = any(one.term > view.term for one in known)
        if self._is_unled and was_unled:
            self._decisions.record(
                view, 'keep', 'a member left the term', known
            )
            await self._attempts.acquire(keep=view.primary)

    async def _find_group(self) -> None:
        """Learn the primary from the members when no host knows it."""
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
        if not self._parts.remaining_s(self._healthy_s + self._suspect_s):
            await self._lead_group(known)

    async def _lead_group(self, known: tuple[Standing, ...]) -> None:
        """Promote a first primary where no member leads."""
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
