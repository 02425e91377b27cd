"""Steps that every change of a group's primary has in common."""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import ClaimPort, DutyClaim
from mimosapond.failover.control_requests import (
    MemberReport,
    fetch_status,
)
from mimosapond.failover.group_statuses import GroupStatuses, newest_term
from mimosapond.failover.lead_recorder import LeadRecorder
from mimosapond.failover.promoter import Promoter, PromotionResult
from mimosapond.failover.promotion_log import log_aborted_change
from mimosapond.failover.promotion_turns import PromotionTurns
from mimosapond.failover.replica_resumer import ReplicaResumer
from mimosapond.groups.group import Group
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member

# Time after which a promotion call that the platform has accepted has taken
# effect.
PROMOTION_EFFECT_S: Final = 1.5


@final
class ChangeSteps:
    """Claims a group, promotes a member, and ends a change without a promotion.

    One host carries out a change at a time; a claim with its fencing token
    excludes the others.
    """

    def __init__(self, claims: ClaimPort, promoter: Promoter, now: Now) -> None:
        """Create the steps of the changes of this host."""
        self._leads = LeadRecorder(claims)
        self._claims = claims
        self._turns = PromotionTurns(claims, now)
        self._promoter = promoter
        self._resumer = ReplicaResumer(claims, now)

    async def promote(
        self,
        group: Group,
        candidate: MemberReport,
        claim: DutyClaim,
        paused: GroupStatuses,
    ) -> bool:
        """Record the lead of a member, promote it, and end the pauses.

        Returns
        -------
        bool
            Whether the member is seen to lead.
        """
        lead = await self._leads.record(group, candidate, claim, paused)
        if lead is None:
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
            await self._resumer.resume(group, claim, others)
            await self._settle(group, candidate.member, lead)
        return result is PromotionResult.leads

    async def withdraw_change(
        self, group: Group, statuses: GroupStatuses
    ) -> bool:
        """End a change that another host began, once its claim is over.

        Returns
        -------
        bool
            Whether the claim for this was granted.
        """
        claim = await self.claim(group, 'replicas left paused')
        if claim is not None:
            await self.abort(group, claim, statuses)
        return claim is not None

    async def abort(
        self, group: Group, claim: DutyClaim, paused: GroupStatuses
    ) -> None:
        """Let replicas receive again once no other promotion can take effect.

        A promotion call that timed out may still take effect, and another host
        may have paused the replicas under a reserved token. A promotion call
        that names the current primary changes nothing, but its higher token
        makes the platform refuse all calls with lower tokens. One that it has
        accepted before takes effect all the same, so the primary has to lead
        after that as well. If no primary is known, the replicas stay paused
        until a host finds that writes are stalled and resumes them.
        """
        primary = paused.primary
        if primary is None or not await _still_leads(primary):
            # A call for a former primary would promote it again, without what its
            # successor has.
            log_aborted_change(group, claim.token, primary, 'not_called')
            await self._turns.release(group.name)
            return
        if not await self._raise_fence(group, claim, primary):
            return
        await asyncio.sleep(PROMOTION_EFFECT_S)
        if not await _still_leads(primary):
            return
        lead = claim.lead
        if isinstance(lead, Lead):
            lead = lead.of(primary.member.member_id, primary.status.term)
        await self._leads.settle(group, claim.lead, lead)
        await self._resumer.resume(group, claim, paused.replicas)

    async def claim(self, group: Group, reason: str) -> DutyClaim | None:
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

    async def _raise_fence(
        self, group: Group, claim: DutyClaim, primary: MemberReport
    ) -> bool:
        """Name the primary in a call that makes the platform refuse older ones.

        Returns
        -------
        bool
            Whether the call was answered, and the primary leads.
        """
        outcome = PromotionResult.not_called
        if await self._leads.record_call(group, primary.member, claim):
            outcome = await self._call_promotion(group, primary, claim)
        log_aborted_change(group, claim.token, primary, outcome.value)
        return outcome is PromotionResult.leads

    async def _call_promotion(
        self, group: Group, candidate: MemberReport, claim: DutyClaim
    ) -> PromotionResult:
        result = await self._promoter.promote(group, candidate, claim)
        if result is not PromotionResult.not_called:
            await self._turns.record_call(group.name, claim)
        return result

    async def _settle(self, group: Group, leader: Member, lead: Lead) -> None:
        """Record the term in which a promoted member leads."""
        status = await fetch_status(leader)
        if status is not None and status.is_primary:
            await self._leads.settle(group, lead, lead.began_in(status.term))


async def _still_leads(primary: MemberReport) -> bool:
    """Return whether a primary leads in the term that it reported before."""
    status = await fetch_status(primary.member)
    return status is not None and status.leads_as(primary.status)
