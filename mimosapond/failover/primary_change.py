"""Replaces the primary of a group without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After all replicas
have stopped receiving, nothing more can be acknowledged in the old term, and
the most advanced of them holds every acknowledged commit. If a replica does
not answer, this is not certain, and nothing is promoted.
"""

import asyncio
from collections.abc import Mapping
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.duty_port import DutyClaim, DutyPort, DutyTaken
from mimosapond.failover.log_survey import (
    STEP_LIMIT_S,
    SurveyedMember,
    ask_member,
    pause_all,
    resume_all,
    survey_all,
)
from mimosapond.failover.promotion_port import (
    Promoted,
    PromotionPort,
    PromotionRefused,
)
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_status import MemberStatus
from mimosapond.routing.primary_probe import PrimaryProbe

_PROMOTE_LIMIT_S: Final = 2.5
_PROMOTE_TRIES: Final = 3
_CATCH_UP_LIMIT_S: Final = 3.0
_CATCH_UP_PAUSE_S: Final = 0.02
# The platform needs up to a second from the call until the member leads.
_LEAD_LIMIT_S: Final = 2.0
# A member that is unlisted and silent this long is gone with its log.
GONE_AFTER_S: Final = 10.0


@final
class PrimaryChange:
    """One change at a time for each group."""

    def __init__(
        self,
        duties: DutyPort,
        promotions: PromotionPort,
        probe: PrimaryProbe,
        now: Now,
    ) -> None:
        """Take the claims and the platform's promotion."""
        self._probe = probe
        self._duties = duties
        self._promotions = promotions
        self._now = now

    async def replace_lost(self, group: Group, lost: Member | None) -> None:
        """Promote the most advanced replica of a primary that is lost."""
        claim = await self._claim(group, 'primary lost')
        if claim is None:
            return
        replicas = self._may_acknowledge(group, lost)
        term = _next_term(group)
        step_down = asyncio.create_task(self._step_down(lost, term))
        paused = await pause_all(replicas, term)
        await step_down
        missing = [
            member.member_id
            for member in replicas
            if member.member_id not in paused
        ]
        best = _most_advanced(paused)
        if missing or best is None:
            logger.bind(group=group.name, missing=missing).warning(
                'promotion_not_safe',
            )
            await resume_all(found.member for found in paused.values())
        else:
            await self._promote(group, best, claim.token)
        await self._duties.release(group.name)

    async def hand_over(self, group: Group, leaving: Member) -> None:
        """Replace a primary that is leaving, while it serves."""
        successor = await self._successor(group, leaving)
        if successor is None:
            return
        claim = await self._claim(group, 'primary leaving')
        if claim is None:
            return
        others = [
            member
            for member in self._may_acknowledge(group, leaving)
            if member is not successor
        ]
        paused = await pause_all(others, _next_term(group))
        ready = len(paused) == len(others) and await self._caught_up(
            leaving, successor
        )
        if ready:
            status = await self._status(successor)
            ready = status is not None
        if ready and status is not None:
            await self._promote(
                group, SurveyedMember(successor, status), claim.token
            )
        else:
            logger.bind(group=group.name).warning('hand_over_not_safe')
            await resume_all(found.member for found in paused.values())
        await self._duties.release(group.name)

    async def _claim(self, group: Group, reason: str) -> DutyClaim | None:
        outcome = await self._duties.claim(group.name)
        log = logger.bind(group=group.name, reason=reason, outcome=str(outcome))
        if isinstance(outcome, DutyClaim):
            log.info('duty_claimed')
            return outcome
        log.info('duty_not_claimed')
        if isinstance(outcome, DutyTaken):
            await asyncio.sleep(0.3)
        return None

    def _may_acknowledge(
        self, group: Group, primary: Member | None
    ) -> list[Member]:
        return [
            member
            for member in group.members.values()
            if member is not primary and not self._is_gone(member)
        ]

    def _is_gone(self, member: Member) -> bool:
        since_s = member.unlisted_since_s
        if since_s is None:
            return False
        silent_s = self._now() - max(since_s, member.load.heard_s)
        return silent_s > GONE_AFTER_S

    async def _step_down(self, lost: Member | None, term: int) -> None:
        if lost is not None:
            await ask_member(
                lost, lambda link: link.step_down(term, STEP_LIMIT_S)
            )

    async def _successor(self, group: Group, leaving: Member) -> Member | None:
        found = await survey_all(
            member
            for member in group.members.values()
            if member is not leaving and member.takes_new_work
        )
        best = _most_advanced(found)
        return best.member if best else None

    async def _status(self, member: Member) -> MemberStatus | None:
        return await ask_member(member, lambda link: link.status(STEP_LIMIT_S))

    async def _caught_up(self, primary: Member, successor: Member) -> bool:
        """Wait until the successor has what the primary has now."""
        target = await self._status(primary)
        if target is None:
            return False
        deadline_s = self._now() + _CATCH_UP_LIMIT_S
        while self._now() < deadline_s:
            status = await self._status(successor)
            if status is not None and status.received >= target.received:
                return True
            await asyncio.sleep(_CATCH_UP_PAUSE_S)
        return False

    async def _promote(
        self, group: Group, best: SurveyedMember, token: int
    ) -> None:
        for _ in range(_PROMOTE_TRIES):
            outcome = await self._promotions.promote(
                group.name, best.member.member_id, token, _PROMOTE_LIMIT_S
            )
            logger.bind(
                group=group.name,
                member=best.member.member_id,
                at=str(best.status.received),
                token=token,
                outcome=str(outcome),
            ).info('promotion')
            if isinstance(outcome, Promoted):
                await self._await_lead(group, best.member)
                return
            if isinstance(outcome, PromotionRefused):
                return

    async def _await_lead(self, group: Group, member: Member) -> None:
        """Hold the claim until the member leads, so that no other starts."""
        deadline_s = self._now() + _LEAD_LIMIT_S
        while self._now() < deadline_s:
            if await self._probe.ask(group, member):
                return
            await asyncio.sleep(_CATCH_UP_PAUSE_S)


def _next_term(group: Group) -> int:
    terms = [
        member.load.position.term
        for member in group.members.values()
        if member.load.position is not None
    ]
    return max(group.term, *terms, 0) + 1


def _most_advanced(
    found: Mapping[str, SurveyedMember],
) -> SurveyedMember | None:
    """Return the survey of the member to promote."""
    if not found:
        return None
    return max(
        found.values(),
        key=lambda each: (
            each.status.received,
            each.member.takes_new_work,
            each.member.member_id,
        ),
    )
