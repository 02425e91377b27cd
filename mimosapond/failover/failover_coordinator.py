"""Replaces the primary of a group without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. After all replicas
have stopped receiving, no further commit can be acknowledged in the old term,
and the most advanced replica holds every acknowledged commit. If two members do
not answer, or a member is not known to this host, then a replica that was not
paused may exist, and nothing is promoted.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.failover.change_steps import ChangeSteps
from mimosapond.failover.claim_port import ClaimPort, DutyClaim
from mimosapond.failover.lead_record import NoLead
from mimosapond.failover.control_requests import step_down
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_pauser import GroupPauser
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.failover.hand_over import HandOver
from mimosapond.failover.pending_leads import PendingLeads
from mimosapond.failover.promoter import Promoter
from mimosapond.failover.promotion_log import (
    log_promotion_proof,
    log_unsafe_promotion,
)
from mimosapond.failover.replica_survey import ReplicaSurvey
from mimosapond.failover.witness_check import WitnessCheck
from mimosapond.failover.witness_roster import WitnessRoster
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member

_NO_LEAD: Final = NoLead()


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
        self._witness_check = WitnessCheck(membership)
        self.roster: Final = WitnessRoster(claims, membership, now)
        self._steps = ChangeSteps(claims, promoter, now)
        self._pending_leads = PendingLeads(now)
        self._hand_over = HandOver(
            self._steps, membership, self._pending_leads, now
        )
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
        if not statuses.includes_all_replicas(None) or not (
            self._has_known_witnesses(group, statuses)
        ):
            log_unsafe_promotion(group, statuses)
            return False
        claim = await self._steps.claim(group, 'primary lost')
        if claim is None:
            return False
        return await self._replace_primary(group, claim, None)

    async def replace_stalled_primary(
        self, group: Group, primary: Member
    ) -> bool:
        """Resolve why the commits of a primary are not acknowledged.

        A change that another host began and did not end is withdrawn, and the
        replicas that it paused receive again. A primary whose commits reach no
        replica is replaced.

        Returns
        -------
        bool
            If another change is pending, whether the claim for ending it was
            granted. Otherwise whether a promoted replica is seen to lead.
        """
        group.is_left_paused = False
        statuses = await self._pauser.fetch(group)
        if statuses.primary is None or statuses.primary.member is not primary:
            return False
        if statuses.has_paused_member or await self._is_change_pending(
            group, primary
        ):
            return await self._steps.withdraw_change(group, statuses)
        if not statuses.is_complete or not self._has_known_witnesses(
            group, statuses, primary
        ):
            return False
        if not await self._survey.is_cut_off(group, statuses):
            return False
        claim = await self._steps.claim(
            group, 'primary cut off from its replicas'
        )
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
        return await self._hand_over.run(group, leaving)

    async def _replace_primary(
        self, group: Group, claim: DutyClaim, excluded: Member | None
    ) -> bool:
        paused = await self._pauser.pause(group, claim.token)
        leads = self._membership.leads_to_keep(group, claim.lead)
        candidate = paused.find_candidate(excluded, claim.lead, leads)
        if candidate is not None:
            candidate = self._pending_leads.restrict(
                group, claim, paused, candidate, excluded
            )
        if candidate is None or not self._witness_check.passes(
            group,
            paused,
            claim.known_witnesses(group),
            recorded=claim.lead,
            deposed=excluded,
            resumable=claim.resumable,
        ):
            log_unsafe_promotion(group, paused)
            await self._steps.abort(group, claim, paused)
            return False
        log_promotion_proof(group, candidate, paused)
        group.observations.add(self._now(), candidate.status.received)
        return await self._steps.promote(group, candidate, claim, paused)

    async def _is_change_pending(self, group: Group, primary: Member) -> bool:
        """Return whether the store has a lead that may still begin."""
        record = group.record
        if record is None or not record.is_change_pending(primary.member_id):
            return False
        found = await self.roster.read(group)
        return found is not None and found.record.is_change_pending(
            primary.member_id
        )

    def _has_known_witnesses(
        self,
        group: Group,
        answers: GroupStatuses,
        deposed: Member | None = None,
    ) -> bool:
        """Return whether the witnesses that this host knows answered."""
        record = group.record
        return record is None or self._witness_check.passes(
            group,
            answers,
            record.witnesses,
            recorded=record.lead or _NO_LEAD,
            deposed=deposed,
        )
