"""What the store keeps about a group, for all hosts and every change."""

from typing import final

import attrs

from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.resume_request import ResumeRequest


@final
@attrs.frozen
class GroupRecord:
    """The last recorded lead of a group, and its witnesses.

    Every acknowledgement of a commit and every promotion depends on it
    (``docs/design.md``, section 15).

    Parameters
    ----------
    lead
        The last lead that was recorded before it began, or that of the primary
        that leads on because it could not begin; None without one.
    witnesses
        Processes that a change of primary has to ask, as commits may have been
        acknowledged because one of them has it. None if none were recorded yet.
    called_ids
        Members that promotion calls named since no earlier call could be
        carried out any more, in the order of their tokens.
    resume_requests
        Requests that may still end the pause of a process.
    """

    lead: Lead | None = None
    witnesses: frozenset[MemberProcess] | None = None
    called_ids: tuple[str, ...] = ()
    resume_requests: tuple[ResumeRequest, ...] = ()

    def is_change_pending(self, primary_id: str) -> bool:
        """Return whether another member may lead by a call that was recorded.

        A primary may lead by the first call that names it. Calls before that
        one are refused, as their tokens are lower, and those after it may still
        be carried out.
        """
        if self.lead is not None and self.lead.member_id != primary_id:
            return True
        if primary_id not in self.called_ids:
            return bool(self.called_ids)
        first = self.called_ids.index(primary_id)
        return any(each != primary_id for each in self.called_ids[first:])

    def called(self, member_id: str) -> 'GroupRecord':
        """Return the record with a call that names a member."""
        if self.called_ids[-1:] == (member_id,):
            return self
        return attrs.evolve(self, called_ids=(*self.called_ids, member_id))

    def settled(self, lead: Lead | None) -> 'GroupRecord':
        """Return the record of a primary that no earlier call can replace."""
        return attrs.evolve(self, lead=lead, called_ids=())

    def pending_resumes(self, now_ms: int) -> tuple[ResumeRequest, ...]:
        """Return the requests that may take effect at a time of the store."""
        return tuple(
            each
            for each in self.resume_requests
            if each.may_take_effect(now_ms)
        )

    def has_witness(self, process: MemberProcess) -> bool:
        """Return whether a process may witness commits."""
        return self.witnesses is not None and process in self.witnesses
