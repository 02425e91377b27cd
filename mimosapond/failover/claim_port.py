"""Port for claims on the replacement of a group's primary.

A claim is a short lease with a fencing token. Only the host that holds the
claim on a group may replace the primary of that group.
"""

from typing import Final, Protocol, TypeAlias, final

import attrs

from mimosapond.failover.lead_record import LeadRecord, LeadRecording
from mimosapond.groups.group import Group
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess

# Time after which a claim that was not released expires. It exceeds the time
# from a claim to its promotion call by the time within which no other host may
# call.
CLAIM_DURATION_S: Final = 4.0


@final
@attrs.frozen
class DutyClaim:
    """The claim was granted to this host.

    Parameters
    ----------
    token
        Fencing token, higher than the token of every earlier claim.
    expires_s
        Time on the boot clock from which another host may hold the claim.
    lead
        The last lead that a holder of the claim recorded.
    witnesses
        Processes that a change under this claim has to ask; None if none were
        recorded or the record could not be read.
    resumable
        Processes whose pause an earlier request may still end.
    """

    token: int
    expires_s: float
    lead: LeadRecord
    witnesses: frozenset[MemberProcess] | None = None
    resumable: frozenset[MemberProcess] = frozenset()

    def known_witnesses(self, group: Group) -> frozenset[MemberProcess] | None:
        """Return the recorded witnesses, as far as this host knows them."""
        if self.witnesses is not None or group.record is None:
            return self.witnesses
        return group.record.witnesses


@final
@attrs.frozen
class FoundRecord:
    """The record of a group, as the store has it.

    Parameters
    ----------
    version
        Version of the row; 0 if there is none yet.
    is_claimed
        Whether a host may be changing the primary.
    """

    record: GroupRecord
    version: int
    is_claimed: bool


@final
@attrs.frozen
class DutyTaken:
    """The claim was not granted because another host holds it."""

    holder: str


@final
@attrs.frozen
class DutyUnknown:
    """The store did not answer, so the claim may have been granted or not."""

    reason: str


ClaimOutcome: TypeAlias = DutyClaim | DutyTaken | DutyUnknown


class ClaimPort(Protocol):
    """Grants claims on groups; each claim has one holder at a time."""

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim the replacement of a group's primary for a few seconds."""

    async def record_lead(
        self, group: str, claim: DutyClaim, lead: Lead
    ) -> LeadRecording:
        """Record a lead before it begins, for every later claim.

        Parameters
        ----------
        claim
            The claim under which the member is promoted.
        """

    async def record_call(
        self, group: str, claim: DutyClaim, member_id: str
    ) -> LeadRecording:
        """Record a promotion call that begins no new lead, before it is made.

        Parameters
        ----------
        member_id
            The primary, which the call names to raise the fence.
        """

    async def settle_lead(
        self, group: str, known: LeadRecord, lead: LeadRecord
    ) -> bool:
        """Record the lead of a primary that no earlier call can replace.

        Parameters
        ----------
        known
            The lead that this host recorded, or read with its claim.
        lead
            The lead of the present primary.

        Returns
        -------
        bool
            False if the store did not answer, or if another host has claimed
            the group since.
        """

    async def record_resumes(
        self, group: str, claim: DutyClaim, processes: frozenset[MemberProcess]
    ) -> LeadRecording:
        """Record requests to resume processes, before they are sent.

        Parameters
        ----------
        claim
            The claim under which they are sent.
        """

    async def forget_resumes(
        self, group: str, processes: frozenset[MemberProcess]
    ) -> None:
        """Forget the last requests that this host recorded for processes."""

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record of a group; None if the store did not answer."""

    async def replace_record(
        self, group: str, found: FoundRecord, record: GroupRecord
    ) -> bool:
        """Replace the record of a group.

        Parameters
        ----------
        found
            Record that nobody may have changed or claimed since.

        Returns
        -------
        bool
            Whether the new one is known to be stored.
        """

    async def reserve(self) -> int | None:
        """Obtain a fencing token in advance, for use while the store is down.

        Returns
        -------
        int or None
            The token, or None if the store did not answer.
        """

    async def release(self, group: str) -> None:
        """Give up the claim before it expires, so that others can claim."""
