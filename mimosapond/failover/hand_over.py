"""Hands the lead of a leaving primary over to a replica."""

from typing import final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.change_steps import ChangeSteps
from mimosapond.failover.claim_port import DutyClaim
from mimosapond.failover.control_requests import (
    MemberReport,
    fetch_status,
    step_down,
)
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_pauser import GroupPauser
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.failover.pending_leads import PendingLeads
from mimosapond.failover.promotion_log import log_promotion_proof
from mimosapond.failover.replica_survey import (
    ReplicaSurvey,
    choose_successor,
)
from mimosapond.failover.witness_check import WitnessCheck
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


@final
class HandOver:
    """Replaces a leaving primary while it still serves.

    All replicas but the successor are paused, so that each commit that the
    primary still acknowledges is in the log of the successor.
    """

    def __init__(
        self,
        steps: ChangeSteps,
        membership: GroupMembership,
        pending_leads: PendingLeads,
        now: Now,
    ) -> None:
        """Create a hand-over of the groups of a membership."""
        self._pending_leads = pending_leads
        self._steps = steps
        self._survey = ReplicaSurvey(membership, now)
        self._pauser = GroupPauser(membership)
        self._witness_check = WitnessCheck(membership)

    async def run(self, group: Group, leaving: Member) -> bool:
        """Replace a leaving primary.

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
        replicas = await self._survey.ask_replicas(group, leaving)
        replicas.add(MemberReport(leaving, status))
        if replicas.has_paused_member:
            # A call of another change may still take effect.
            await self._steps.withdraw_change(group, replicas)
            return False
        successor = choose_successor(replicas)
        if successor is None:
            return False
        claim = await self._steps.claim(group, 'primary leaving')
        if claim is None:
            return False
        pending = self._pending_leads.find(group, claim)
        if pending is not None and pending.member_id != leaving.member_id:
            await self._steps.abort(group, claim, replicas)
            return False
        return await self._change(
            group, claim, MemberReport(leaving, status), successor.member
        )

    async def _change(
        self,
        group: Group,
        claim: DutyClaim,
        leaving: MemberReport,
        successor: Member,
    ) -> bool:
        paused = await self._pauser.pause(
            group, claim.token, (successor, leaving.member)
        )
        caught_up = await self._await_catch_up(
            group, claim, paused, (successor, leaving.member)
        )
        if caught_up is None:
            logger.bind(group=group.name).warning('hand_over_not_safe')
            paused.add(leaving)
            await self._steps.abort(group, claim, paused)
            return False
        log_promotion_proof(group, caught_up, paused)
        leads = await self._steps.promote(group, caught_up, claim, paused)
        if leads:
            # A former primary may go on to accept requests until it is told.
            await step_down(leaving.member, claim.token)
        return leads

    async def _await_catch_up(
        self,
        group: Group,
        claim: DutyClaim,
        paused: GroupStatuses,
        unpaused: tuple[Member, Member],
    ) -> MemberReport | None:
        """Wait until the successor has all that any member may have witnessed.

        Parameters
        ----------
        unpaused
            The successor and the leaving primary.
        """
        successor, leaving = unpaused
        if not paused.is_complete or not self._witness_check.passes(
            group,
            paused,
            claim.known_witnesses(group),
            unpaused,
            resumable=claim.resumable,
        ):
            return None
        return await self._survey.await_catch_up(leaving, successor)
