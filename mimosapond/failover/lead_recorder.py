"""Records each lead before it begins, for hosts that never see its primary.

A host that starts after a primary was lost cannot see what its log began with.
It reads that with its claim, and so promotes no member that lacks it.
"""

from typing import final

from loguru import logger

from mimosapond.failover.claim_port import ClaimPort, DutyClaim
from mimosapond.failover.lead_record import LeadRecord, LeadRecording
from mimosapond.failover.control_requests import MemberReport
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member


@final
class LeadRecorder:
    """Records the leads of the promotions of this host."""

    def __init__(self, claims: ClaimPort) -> None:
        """Record with the claims under which members are promoted."""
        self._claims = claims

    async def record(
        self,
        group: Group,
        candidate: MemberReport,
        claim: DutyClaim,
        paused: GroupStatuses,
    ) -> Lead | None:
        """Record the lead of a member that is promoted next.

        Parameters
        ----------
        paused
            What the members reported during this change.

        Returns
        -------
        Lead or None
            The lead with which the member may be promoted. None if another host
            holds the claim by now. An outage of the store does not prevent a
            change.
        """
        newest_term = max(paused.newest_term(claim.lead), candidate.status.term)
        lead = Lead(
            candidate.member.member_id, candidate.status.received, newest_term
        )
        recording = await self._claims.record_lead(group.name, claim, lead)
        if recording is not LeadRecording.recorded:
            logger.bind(
                group=group.name, lead=str(lead), outcome=recording.value
            ).warning('lead_not_recorded')
        return None if recording is LeadRecording.superseded else lead

    async def record_call(
        self, group: Group, primary: Member, claim: DutyClaim
    ) -> bool:
        """Record a call that names the primary, to raise the fence.

        If it is carried out late, it may promote this member once more.

        Returns
        -------
        bool
            Whether it may be made, as for ``record``.
        """
        recording = await self._claims.record_call(
            group.name, claim, primary.member_id
        )
        if recording is not LeadRecording.recorded:
            logger.bind(
                group=group.name,
                member=primary.member_id,
                outcome=recording.value,
            ).warning('call_not_recorded')
        return recording is not LeadRecording.superseded

    async def settle(
        self, group: Group, known: LeadRecord, lead: LeadRecord
    ) -> None:
        """Record the lead of a primary that no earlier call can replace.

        Parameters
        ----------
        known
            The lead that this host recorded, or read with its claim.
        """
        if await self._claims.settle_lead(group.name, known, lead):
            group.settle_lead(lead if isinstance(lead, Lead) else None)
