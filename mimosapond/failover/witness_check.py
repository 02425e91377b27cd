"""Checks that a change of primary asked every witness of the group.

A commit may have been acknowledged because one process has it. A member that was
started again under its id does not answer for its former process, which may have
ended with its log.
"""

from collections.abc import Collection
from typing import Final, final

from mimosapond.failover.lead_record import LeadRecord, LeadUnknown
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess

# Time after which a member without a registration counts as lost for good,
# with its log.
_LOST_AFTER_S: Final = 20.0
_LEAD_UNKNOWN: Final = LeadUnknown()


@final
class WitnessCheck:
    """Compares the recorded witnesses with the members that answered."""

    def __init__(self, membership: GroupMembership) -> None:
        """Use a membership, which tells how long members are absent."""
        self._membership = membership

    def passes(
        self,
        group: Group,
        answers: GroupStatuses,
        witnesses: frozenset[MemberProcess] | None,
        unpaused: Collection[Member] = (),
        *,
        recorded: LeadRecord = _LEAD_UNKNOWN,
        deposed: Member | None = None,
        resumable: Collection[MemberProcess] = (),
    ) -> bool:
        """Return whether the answers include those of all witnesses needed.

        The primary need not be among them, as it witnesses no commits of its
        own. Another witness that is missing may have ended: the primary has what
        both had. So a leaving primary, which has all of it, can hand over, and a
        lost one is waited for unless it cannot come back with its log.

        Parameters
        ----------
        witnesses
            Recorded witnesses; None if they are not known.
        unpaused
            The primary and its successor, if both take part in the change.
        recorded
            The last recorded lead.
        deposed
            The former primary, if it was told to step down before. It has all
            commits, and is not promoted.
        resumable
            Processes whose pause may end, so that their answers do not count.
        """
        primary_id = _lost_primary_id(group, answers, recorded)
        answered = {
            report.member.record.process
            for report in answers.reports
            if report.is_process_certain
            and report.member.record.process not in resumable
        }
        answered.update(
            member.record.process
            for member in unpaused
            if member.load.identity.is_answer_certain
        )
        missing = [
            process
            for process in (witnesses or frozenset()) - answered
            if process.member_id != primary_id
        ]
        if not all(
            self._membership.has_ended(group, process) for process in missing
        ):
            return False
        return (
            not missing
            or bool(unpaused)
            or (
                deposed is None
                and self._is_log_lost(group, answers, primary_id)
            )
        )

    def _is_log_lost(
        self, group: Group, answers: GroupStatuses, primary_id: str
    ) -> bool:
        """Return whether the log of the lost primary cannot come back.

        A primary that crashed comes back as a primary, also one that leaves. One
        that answers and does not lead has started again without its log. Its
        successor at its address, if it answers, has what is left of it.
        """
        primary = group.members.get(primary_id)
        if primary is None:
            return self._membership.absence_s(group, primary_id) > _LOST_AFTER_S
        successor = group.successor_of(primary)
        return (
            primary in answers.members
            or successor in answers.members
            or self._membership.absence_s(group, primary_id) > _LOST_AFTER_S
        )


def _lost_primary_id(
    group: Group, answers: GroupStatuses, recorded: LeadRecord
) -> str:
    """Return the id of the member whose loss the change makes up for.

    It is the one that is silent, which ``GroupStatuses`` has checked, or the
    last one known to lead.
    """
    if answers.silent_members:
        return answers.silent_members[0].member_id
    answered_ids = {member.member_id for member in answers.members}
    if not isinstance(recorded, Lead):
        return group.last_primary_id
    if recorded.member_id not in answered_ids:
        return recorded.member_id
    return group.last_primary_id or recorded.member_id
