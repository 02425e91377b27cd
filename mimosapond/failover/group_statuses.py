"""Conclusions from the statuses that the members of a group reported."""

from collections.abc import Collection, Mapping
from typing import Final, final

from mimosapond.failover.lead_record import LeadRecord, LeadUnknown
from mimosapond.failover.group_membership import MembershipKnowledge
from mimosapond.failover.control_requests import MemberReport
from mimosapond.groups.group import Group
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member

_LEAD_UNKNOWN: Final = LeadUnknown()


@final
class GroupStatuses:
    """The expected members of a group and the reports of those that answered."""

    def __init__(
        self,
        expected: tuple[Member, ...],
        reports: Mapping[str, MemberReport],
        knowledge: MembershipKnowledge,
        group: Group,
    ) -> None:
        """Combine the expected members with the reports.

        Parameters
        ----------
        expected
            Members that may hold commits of the current term.
        reports
            Reports by member id.
        knowledge
            How well this host knew the members when they were asked.
        group
            The group, which has the last known primary.
        """
        self._group = group
        self._expected_ids = {member.member_id for member in expected}
        self._reports = dict(reports)
        self.knowledge = knowledge
        self.silent_members = [
            member for member in expected if member.member_id not in reports
        ]

    @property
    def members(self) -> list[Member]:
        """Members that answered."""
        return [report.member for report in self._reports.values()]

    @property
    def reports(self) -> tuple[MemberReport, ...]:
        """Reports of the members that answered."""
        return tuple(self._reports.values())

    def report_of(self, member_id: str) -> MemberReport | None:
        """Return the report of a member; None if it did not answer."""
        return self._reports.get(member_id)

    @property
    def positions(self) -> dict[str, str]:
        """Position that each member reported, by member id."""
        return {
            member_id: str(report.status.received)
            for member_id, report in self._reports.items()
        }

    @property
    def replicas(self) -> list[Member]:
        """Members that answered, without the primary of the newest term."""
        primary = self.primary
        return [
            report.member
            for report in self._reports.values()
            if report is not primary
        ]

    @property
    def has_paused_member(self) -> bool:
        """Whether any member that answered is paused."""
        return any(
            report.status.paused_term > 0 for report in self._reports.values()
        )

    def add(self, report: MemberReport) -> None:
        """Add the report of a member that was not paused."""
        self._reports[report.member.member_id] = report

    @property
    def primary(self) -> MemberReport | None:
        """The report of the primary of the newest term; None without one."""
        newest = max(
            (report.status.term for report in self._reports.values()), default=0
        )
        for report in self._reports.values():
            if report.status.is_primary and report.status.term == newest:
                return report
        return None

    def find_candidate(
        self,
        deposed: Member | None,
        recorded: LeadRecord,
        leads: Collection[Lead],
    ) -> MemberReport | None:
        """Return the member to promote; None if no promotion is safe.

        Parameters
        ----------
        deposed
            The former primary, if it was told to step down before.
        recorded
            The last recorded lead.
        leads
            Leads whose begin the member has to have.
        """
        if isinstance(recorded, LeadUnknown) and self._group.lead is None:
            # What the lost primary began with is known to other hosts only.
            return None
        if not self.includes_all_replicas(deposed, recorded):
            return None
        return self.most_advanced(deposed, leads)

    def newest_term(self, recorded: LeadRecord) -> int:
        """Return the newest term that may have begun.

        The term of a recorded lead may be known to no member that answered.
        """
        terms = [report.status.term for report in self._reports.values()]
        if isinstance(recorded, Lead) and (
            recorded.member_id not in self._reports
        ):
            terms.append(recorded.latest_term)
        return max(terms, default=0)

    def includes_all_replicas(
        self, deposed: Member | None, recorded: LeadRecord = _LEAD_UNKNOWN
    ) -> bool:
        """Return whether every replica of the group answered.

        One member may be silent if it is the primary. A silent replica may
        hold commits that no other replica has, also after the primary has left.

        Parameters
        ----------
        deposed
            The former primary, if it was told to step down before.
        recorded
            The last recorded lead.
        """
        if self.primary is not None or len(self.silent_members) > 1:
            return False
        if self.silent_members:
            silent = self.silent_members[0]
            if deposed is not None or not self._may_lead(silent, recorded):
                return False
        match self.knowledge:
            case MembershipKnowledge.current:
                return True
            case MembershipKnowledge.earlier:
                # If no member is silent and none is the primary, the primary
                # is a member that this host has never seen.
                return deposed is not None or bool(self.silent_members)
            case MembershipKnowledge.partial:
                return False

    @property
    def is_complete(self) -> bool:
        """Whether all members answered and this host knows every member."""
        is_known = self.knowledge is not MembershipKnowledge.partial
        return is_known and not self.silent_members

    @property
    def best_successor(self) -> MemberReport | None:
        """The most advanced replica that is not leaving; None without one."""
        candidates = [
            report
            for report in self._reports.values()
            if report.member.accepts_new_work and not report.status.is_primary
        ]
        return max(candidates, key=_promotion_rank, default=None)

    def most_advanced(
        self, excluded: Member | None, leads: Collection[Lead] = ()
    ) -> MemberReport | None:
        """Return the replica with the most advanced log, or None without one.

        Of equally advanced replicas, one that takes new work is preferred. None
        if its log may lack the begin of a lead: a less advanced one that has it
        may lack what was acknowledged since.

        Parameters
        ----------
        leads
            Leads whose begin the log has to have. A primary that was the only
            witness of a commit before it was promoted may have it alone, if its
            replicas lagged behind then.
        """
        candidates = [
            report
            for report in self._reports.values()
            if report.member is not excluded and not report.status.is_primary
        ]
        chosen = max(candidates, key=_promotion_rank, default=None)
        if chosen is None:
            return None
        received = chosen.status.received
        return (
            chosen if all(each.is_in_log(received) for each in leads) else None
        )

    def _may_lead(self, silent: Member, recorded: LeadRecord) -> bool:
        """Return whether a silent member can be the primary.

        It cannot if the last known primary has left the group and no other
        one was seen since, or if the member whose lead was recorded is neither
        silent nor among those that answered.
        """
        if isinstance(recorded, Lead) and (
            recorded.member_id not in {silent.member_id, *self._reports}
        ):
            return False
        last_id = self._group.last_primary_id
        if last_id in self._group.members.keys() - self._expected_ids:
            return False
        return silent.member_id == last_id or silent.record.reports_primary


def newest_term(group: Group) -> int:
    """Return the highest term of a primary or a pause that was reported.

    The result is 0 if no member has reported a term yet.
    """
    terms = [member.load.term for member in group.members.values()]
    return max(terms, default=0)


def _promotion_rank(report: MemberReport) -> tuple[object, ...]:
    return (
        report.status.received,
        report.member.accepts_new_work,
        report.member.member_id,
    )
