"""What the store keeps about a group, for all hosts and every change."""

from typing import final

import attrs

from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess


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
    """

    lead: Lead | None = None
    witnesses: frozenset[MemberProcess] | None = None

    def is_change_pending(self, primary_id: str) -> bool:
        """Return whether a recorded lead may begin while a member leads."""
        return self.lead is not None and self.lead.member_id != primary_id

    def settled(self, lead: Lead | None) -> 'GroupRecord':
        """Return the record with the lead of a primary that leads on."""
        return attrs.evolve(self, lead=lead)

    def has_witness(self, process: MemberProcess) -> bool:
        """Return whether a process may witness commits."""
        return self.witnesses is not None and process in self.witnesses
