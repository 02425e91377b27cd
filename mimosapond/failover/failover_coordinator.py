"""Replaces the primary of a group without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After all replicas
have stopped receiving, no further commit can be acknowledged in the old term,
and the most advanced replica holds every acknowledged commit. If two members do
not answer, or a member is not known to this host, then a replica that was not
paused may exist, and nothing is promoted.
"""

from collections.abc import Iterable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import DutyClaim, ClaimPort
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_pauser import GroupPauser
from mimosapond.failover.control_requests import (
    CONTROL_TIMEOUT_S,
    MemberReport,
    resume_all,
    fetch_status,
    step_down,
)
from mimosapond.failover.group_statuses import GroupStatuses, newest_term
from mimosapond.failover.lead_recorder import LeadRecorder
from mimosapond.failover.promoter import (
    Promoter,
    PromotionResult,
)
from mimosapond.failover.promotion_log import (
    log_aborted_change,
    log_promotion_proof,
    log_unsafe_promotion,
)
from mimosapond.failover.promotion_turns import PromotionTurns
from mimosapond.failover.replica_survey import ReplicaSurvey
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member

# Covers borrowing a connection, the status request and the resume request.
_RESUME_TIMEOUT_S: Final = 3 * CONTROL_TIMEOUT_S


@final
class FailoverCoordinator:
    """Changes the primary of a group, one change at a time for each group.

    A change claims the group, pauses its replicas under the fencing token of
    the claim, promotes the most advanced replica and lets the others receive
    again.
    """

    def __init__(
        self,
        claims: ClaimPort,
        promoter: Promoter,
        membership: GroupMembership,
        now: Now,
    ) -> None:
        """Create a coordinator.

        Parameters
        ----------
        claims
            Grants the claims that keep other hosts from a change.
        promoter
            Promotes a member through the platform.
        membership
            Tells which members of a group a change has to ask.
        """
        self._survey = ReplicaSurvey(membership, now)
        self._membership = membership
        self._pauser = GroupPauser(membership)
        self._leads = LeadRecorder(claims)
        self._claims = claims
        self._turns = PromotionTurns(claims, now)
        self._promoter = promoter
        self._now = now

    async def replace_lost_primary(self, group: Group) -> bool:
        """Promote the most advanced replica of a group without a primary.

        Returns
        -------
        bool
            Whether the promoted member is seen to lead. False if a promotion
            was not safe, the claim was not granted, or the promotion was
            refused or had no known outcome.
        """
        # The members are asked before the claim is made, so that a host that
        # reaches too few members does not hold the claim while other hosts
        # could use it. The answers also give the terms that the term of a
        # pause has to exceed.
        statuses = await self._pauser.fetch(group)
        if not statuses.includes_all_replicas(None):
            log_unsafe_promotion(group, statuses)
            return False
        claim = await self._claim(group, 'primary lost')
        if claim is None:
            return False
        return await self._replace_primary(group, claim, None)

    async def replace_stalled_primary(
        self, group: Group, primary: Member
    ) -> bool:
        """Resolve why the commits of a primary are not acknowledged.

        Replicas that an earlier change left paused receive again. A primary
        whose commits reach no replica is replaced.

        Returns
        -------
        bool
            If replicas were paused, whether the claim for resuming them was
            granted. Otherwise whether a promoted replica is seen to lead.
        """
        statuses = await self._pauser.fetch(group)
        if statuses.primary is None or statuses.primary.member is not primary:
            return False
        if statuses.has_paused_member:
            claim = await self._claim(group, 'replicas left paused')
            if claim is not None:
                await self._abort(group, claim, statuses)
            return claim is not None
        if not statuses.is_complete or not await self._survey.is_cut_off(
            group, statuses
        ):
            return False
        claim = await self._claim(group, 'primary cut off from its replicas')
        if claim is None:
            return False
        await step_down(primary, claim.token)
        return await self._replace_primary(group, claim, primary)

    async def hand_over(self, group: Group, leaving: Member) -> bool:
        """Replace a leaving primary while it still serves.

        Returns
        -------
        bool
            Whether the successor is seen to lead. False if no change was
            possible or safe, or if the promotion had no known outcome.
        """
        status = await fetch_status(leaving)
        if status is None:
            return False
        if not status.is_primary:
            group.suspect_primary(
                leaving, 'the member is no longer the primary'
            )
            return False
        successor = await self._survey.choose_successor(group, leaving)
        if successor is None:
            return False
        claim = await self._claim(group, 'primary leaving')
        if claim is None:
            return False
        paused = await self._pauser.pause(
            group, claim.token, (successor, leaving)
        )
        caught_up = None
        if paused.is_complete:
            caught_up = await self._survey.await_catch_up(leaving, successor)
        if caught_up is None:
            logger.bind(group=group.name).warning('hand_over_not_safe')
            paused.add(MemberReport(leaving, status))
            await self._abort(group, claim, paused)
            return False
        log_promotion_proof(group, caught_up, paused)
        leads = await self._promote(group, caught_up, claim, paused)
        if leads:
            # A former primary may go on to accept requests until it is told.
            await step_down(leaving, claim.token)
        return leads

    async def _replace_primary(
        self, group: Group, claim: DutyClaim, excluded: Member | None
    ) -> bool:
        paused = await self._pauser.pause(group, claim.token)
        leads = self._membership.leads_to_keep(group, claim.lead)
        candidate = paused.find_candidate(excluded, claim.lead, leads)
        if candidate is None:
            log_unsafe_promotion(group, paused)
            await self._abort(group, claim, paused)
            return False
        log_promotion_proof(group, candidate, paused)
        group.observations.add(self._now(), candidate.status.received)
        return await self._promote(group, candidate, claim, paused)

    async def _promote(
        self,
        group: Group,
        candidate: MemberReport,
        claim: DutyClaim,
        paused: GroupStatuses,
    ) -> bool:
        if not await self._leads.record(group, candidate, claim, paused):
            return False
        result = await self._call_promotion(group, candidate, claim)
        if result is PromotionResult.leads:
            # If replicas received before the new primary leads, a former
            # primary that still runs could go on acknowledging commits.
            others = (
                member
                for member in paused.members
                if member is not candidate.member
            )
            await self._resume(group, claim, others)
        return result is PromotionResult.leads

    async def _call_promotion(
        self, group: Group, candidate: MemberReport, claim: DutyClaim
    ) -> PromotionResult:
        result = await self._promoter.promote(group, candidate, claim)
        if result is not PromotionResult.not_called:
            await self._turns.record_call(group.name, claim)
        return result

    async def _abort(
        self, group: Group, claim: DutyClaim, paused: GroupStatuses
    ) -> None:
        """Let replicas receive again once no other promotion can take effect.

        A promotion call that timed out may still take effect, and another host
        may have paused the replicas under a reserved token. A promotion call
        that names the current primary changes nothing, but its higher token
        makes the platform refuse all calls with lower tokens. If no primary is
        known, the replicas stay paused until a host finds that writes are
        stalled and resumes them.
        """
        if paused.primary is None:
            log_aborted_change(group, claim.token, None, 'not_called')
            await self._turns.release(group.name)
            return
        result = await self._call_promotion(group, paused.primary, claim)
        log_aborted_change(group, claim.token, paused.primary, result.value)
        if result is PromotionResult.leads:
            await self._resume(group, claim, paused.replicas)

    async def _resume(
        self, group: Group, claim: DutyClaim, members: Iterable[Member]
    ) -> None:
        """Let members that were paused under the claim receive again.

        A claim that is about to expire is renewed first. Members that stay
        paused are resumed by the next host that finds writes stalled.
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
        """Return a claim whose token is above all terms of the group.

        Members are paused under the token of the claim, so a member that is
        paused under a higher token takes part in a change of another host.

        Returns
        -------
        DutyClaim or None
            None if the claim was not granted. Also None if a member has a term
            that is not lower than the token; the claim is released then.
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
        await self._turns.release(group.name)
        return None
