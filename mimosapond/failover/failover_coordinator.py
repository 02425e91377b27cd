"""Replaces the primary of a group without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After all replicas
have stopped receiving, nothing more can be acknowledged in the old term, and
the most advanced of them holds every acknowledged commit. If two members do
not answer, or one is not known, one of them may be a replica, and nothing is
promoted.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import DutyClaim, ClaimPort
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_pauser import GroupPauser
from mimosapond.failover.control_requests import (
    CONTROL_TIMEOUT_S,
    SurveyedMember,
    resume_all,
    status_of,
    step_down,
    survey_all,
)
from mimosapond.failover.group_statuses import GroupStatuses, newest_term
from mimosapond.failover.promoter import (
    Promoter,
    PromotionEnd,
)
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member

_CATCH_UP_TIMEOUT_S: Final = 3.0
_CATCH_UP_POLL_INTERVAL_S: Final = 0.02
# Between two looks at a primary whose commits seem not to be replicated.
_REPLICATION_CHECK_DELAY_S: Final = 0.25
# A connection, a status and the request itself.
_RESUME_TIMEOUT_S: Final = 3 * CONTROL_TIMEOUT_S


@final
class FailoverCoordinator:
    """One change at a time for each group."""

    def __init__(
        self,
        claims: ClaimPort,
        promoter: Promoter,
        membership: GroupMembership,
        now: Now,
    ) -> None:
        """Take the claims, the platform's promotion and who has to be asked."""
        self._membership = membership
        self._pauser = GroupPauser(membership)
        self._claims = claims
        self._promoter = promoter
        self._now = now

    async def replace_lost(self, group: Group) -> bool:
        """Promote the most advanced replica of a primary that is lost."""
        # Before the claim, so that a host which sees too few members does not
        # keep it from others. The answers also give the terms, above which a
        # pause has to be.
        found = await self._survey(group)
        if not found.includes_all_replicas(None):
            _log_unsafe(group, found)
            return False
        claim = await self._claim(group, 'primary lost')
        if claim is None:
            return False
        return await self._replace(group, claim, None)

    async def replace_stalled(self, group: Group, primary: Member) -> bool:
        """Find out why a primary's commits are not acknowledged.

        Replicas that an earlier change left paused receive again; a primary
        that reaches no replica is replaced.
        """
        found = await self._survey(group)
        if found.primary is None or found.primary.member is not primary:
            return False
        if found.has_paused_member:
            claim = await self._claim(group, 'replicas left paused')
            if claim is not None:
                await self._abort(group, claim, found)
            return claim is not None
        if not found.is_complete or not await self._is_cut_off(group, found):
            return False
        claim = await self._claim(group, 'primary cut off from its replicas')
        if claim is None:
            return False
        await step_down(primary, claim.token)
        return await self._replace(group, claim, primary)

    async def hand_over(self, group: Group, leaving: Member) -> bool:
        """Replace a primary that is leaving, while it serves."""
        status = await status_of(leaving)
        if status is None:
            return False
        if not status.is_primary:
            group.suspect_primary(leaving, 'it has handed over')
            return False
        successor = await self._successor(group, leaving)
        if successor is None or not self._membership.is_fully_known(group):
            return False
        claim = await self._claim(group, 'primary leaving')
        if claim is None:
            return False
        paused = await self._pauser.pause(
            group, claim.token, (successor, leaving)
        )
        found = None
        if paused.is_complete:
            found = await self._await_catch_up(leaving, successor)
        if found is None:
            logger.bind(group=group.name).warning('hand_over_not_safe')
            paused.add(SurveyedMember(leaving, status))
            await self._abort(group, claim, paused)
            return False
        return await self._promote(group, found, claim, paused)

    async def _replace(
        self, group: Group, claim: DutyClaim, excluded: Member | None
    ) -> bool:
        paused = await self._pauser.pause(group, claim.token)
        best = paused.most_advanced(excluded)
        if best is None or not paused.includes_all_replicas(excluded):
            _log_unsafe(group, paused)
            await self._abort(group, claim, paused)
            return False
        group.observations.add(self._now(), best.status.received)
        return await self._promote(group, best, claim, paused)

    async def _promote(
        self,
        group: Group,
        best: SurveyedMember,
        claim: DutyClaim,
        paused: GroupStatuses,
    ) -> bool:
        end = await self._promoter.promote(group, best, claim.token)
        if end is PromotionEnd.leads:
            # Earlier, a former primary that lives could go on acknowledging.
            others = (
                member for member in paused.members if member is not best.member
            )
            await self._resume(group, claim, others)
        if end in {PromotionEnd.leads, PromotionEnd.refused}:
            await self._claims.release(group.name)
        return end is PromotionEnd.leads

    async def _abort(
        self, group: Group, claim: DutyClaim, paused: GroupStatuses
    ) -> None:
        """Let replicas receive again once no other promotion can take place.

        A call whose sender got no answer may still take place, and another
        host may have paused the replicas under a token that it took in advance.
        A call that names the present primary changes nothing, but its newer
        token makes the platform refuse the others. Without a primary to name,
        the replicas are left to the host that next finds writes waiting.
        """
        end = PromotionEnd.refused
        if paused.primary is not None:
            end = await self._promoter.promote(
                group, paused.primary, claim.token
            )
        if end is PromotionEnd.leads:
            await self._resume(group, claim, paused.replicas)
        if end in {PromotionEnd.leads, PromotionEnd.refused}:
            await self._claims.release(group.name)

    async def _resume(
        self, group: Group, claim: DutyClaim, members: Iterable[Member]
    ) -> None:
        """Let members receive again that were paused under the claim.

        A claim that is about to lapse is renewed first; members that stay
        paused are left to the host that next finds writes waiting.
        """
        expires_s = claim.expires_s
        if expires_s - self._now() < _RESUME_TIMEOUT_S:
            renewed = await self._claims.claim(group.name)
            logger.bind(group=group.name, outcome=str(renewed)).info(
                'duty_renewed'
            )
            if not isinstance(renewed, DutyClaim):
                return
            expires_s = renewed.expires_s
        await resume_all(
            members,
            claim.token,
            lambda: expires_s - self._now() > CONTROL_TIMEOUT_S,
        )

    async def _claim(self, group: Group, reason: str) -> DutyClaim | None:
        """Return a claim under whose token members may be paused.

        Pauses are made under the token, so a member that is paused under a
        higher one belongs to a change of another host.
        """
        outcome = await self._claims.claim(group.name)
        logger.bind(group=group.name, reason=reason, outcome=str(outcome)).info(
            'duty_claim'
        )
        if not isinstance(outcome, DutyClaim):
            return None
        if outcome.token > newest_term(group):
            return outcome
        logger.bind(group=group.name, newest=newest_term(group)).warning(
            'duty_claim_superseded'
        )
        await self._claims.release(group.name)
        return None

    async def _survey(self, group: Group) -> GroupStatuses:
        """Ask all members, also those that need not answer."""
        return GroupStatuses(
            self._membership.expected(group),
            await survey_all(group.members.values()),
            self._membership.knowledge(group),
        )

    async def _survey_members(
        self, group: Group, members: tuple[Member, ...]
    ) -> GroupStatuses:
        return GroupStatuses(
            members,
            await survey_all(members),
            self._membership.knowledge(group),
        )

    async def _successor(self, group: Group, leaving: Member) -> Member | None:
        candidates = tuple(
            member
            for member in self._membership.expected(group)
            if member is not leaving and member.accepts_new_work
        )
        found = await self._survey_members(group, candidates)
        best = found.most_advanced(leaving)
        return best.member if best else None

    async def _await_catch_up(
        self, primary: Member, successor: Member
    ) -> SurveyedMember | None:
        """Wait until the successor has what the primary has now."""
        primary_status = await status_of(primary)
        if primary_status is None or not primary_status.is_primary:
            return None
        deadline_s = self._now() + _CATCH_UP_TIMEOUT_S
        while self._now() < deadline_s:
            status = await status_of(successor)
            if (
                status is not None
                and status.received >= primary_status.received
            ):
                return SurveyedMember(successor, status)
            await asyncio.sleep(_CATCH_UP_POLL_INTERVAL_S)
        return None

    async def _is_cut_off(self, group: Group, before: GroupStatuses) -> bool:
        """Return whether no replica receives what the primary committed."""
        if before.primary is None:
            return False
        await asyncio.sleep(_REPLICATION_CHECK_DELAY_S)
        primary = before.primary
        replicas = tuple(
            member for member in before.members if member is not primary.member
        )
        found = await self._survey_members(group, replicas)
        best = found.most_advanced(primary.member)
        if best is None or found.silent:
            return False
        return best.status.received < primary.status.received


def _log_unsafe(group: Group, answers: GroupStatuses) -> None:
    primary = answers.primary
    logger.bind(
        group=group.name,
        silent=[member.member_id for member in answers.silent],
        primary=primary.member.member_id if primary else '',
    ).warning('promotion_not_safe')
