"""Leads that were recorded by other changes and may still begin.

Two members that are promoted one after the other both lead for a moment, and the
second one lacks what the first one acknowledged. The fence does not prevent this,
as it stops only calls that the platform has not accepted yet.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import DutyClaim
from mimosapond.failover.control_requests import MemberReport
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member

# Time after a promotion call within which the platform may carry it out.
_CALL_LIFETIME_S: Final = 20.0


@final
class PendingLeads:
    """Tells which leads may begin, and for how long this host knows them."""

    def __init__(self, now: Now) -> None:
        """Start without known leads."""
        self._now = now
        self._seen: dict[str, tuple[Lead, float]] = {}

    def find(self, group: Group, claim: DutyClaim) -> Lead | None:
        """Return the recorded lead of a claim if it may still begin."""
        lead = claim.lead
        if not isinstance(lead, Lead):
            return None
        seen = self._seen.get(group.name)
        if seen is None or seen[0] != lead:
            seen = (lead, self._now())
            self._seen[group.name] = seen
        is_over = self._now() - seen[1] > _CALL_LIFETIME_S
        return None if is_over else lead

    def restrict(
        self,
        group: Group,
        claim: DutyClaim,
        paused: GroupStatuses,
        candidate: MemberReport,
        deposed: Member | None,
    ) -> MemberReport | None:
        """Return the member to promote beside a lead that may begin.

        Returns
        -------
        MemberReport or None
            The member of that lead if it answers and does not lead. None if it
            lacks what a witness has.
        """
        lead = self.find(group, claim)
        report = paused.report_of(lead.member_id) if lead else None
        if lead is None or report is None or report.member is deposed:
            return candidate
        if not lead.is_in_log(report.status.received):
            # It has started again without its log.
            return candidate
        witnesses = claim.known_witnesses(group) or frozenset()
        is_most_advanced = all(
            report.status.received >= each.status.received
            for each in paused.reports
            if each.member is not deposed
            and each.member.record.process in witnesses
        )
        return report if is_most_advanced else None
