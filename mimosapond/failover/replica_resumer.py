"""Ends the pauses of replicas after a change of primary."""

from collections.abc import Collection, Iterable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import ClaimPort, DutyClaim
from mimosapond.failover.control_requests import (
    CONTROL_TIMEOUT_S,
    fetch_all_statuses,
    resume_all,
)
from mimosapond.failover.lead_record import LeadRecording
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess

# Covers borrowing a connection, the status request and the resume request.
_RESUME_TIMEOUT_S: Final = 3 * CONTROL_TIMEOUT_S


@final
class ReplicaResumer:
    """Resumes replicas under the claim under which they were paused.

    A request to resume has no token. One without an answer may be carried out
    late, and end the pause of a later change. It is recorded before it is sent,
    so that a later change does not rely on the pause of that process.
    """

    def __init__(self, claims: ClaimPort, now: Now) -> None:
        """Record the requests with the claims."""
        self._claims = claims
        self._now = now

    async def resume(
        self, group: Group, claim: DutyClaim, members: Iterable[Member]
    ) -> None:
        """Let members that were paused under the claim receive again.

        A claim that is about to expire is renewed first. Members that stay
        paused are resumed by the next host that finds writes stalled.
        """
        paused = await _find_paused(members, claim.token)
        if not paused:
            return
        held = await self._renew(group, claim)
        processes = frozenset(member.record.process for member in paused)
        if held is None or not await self._record(group, held, processes):
            return
        unanswered = await resume_all(
            paused,
            claim.token,
            lambda: held.expires_s - self._now() > CONTROL_TIMEOUT_S,
        )
        answered = processes - {each.record.process for each in unanswered}
        if answered:
            await self._claims.forget_resumes(group.name, answered)

    async def _renew(self, group: Group, claim: DutyClaim) -> DutyClaim | None:
        """Return a claim that covers the requests; None without one."""
        if claim.expires_s - self._now() >= _RESUME_TIMEOUT_S:
            return claim
        renewed = await self._claims.claim(group.name)
        logger.bind(group=group.name, outcome=str(renewed)).info('duty_renewed')
        return renewed if isinstance(renewed, DutyClaim) else None

    async def _record(
        self,
        group: Group,
        claim: DutyClaim,
        processes: frozenset[MemberProcess],
    ) -> bool:
        """Return whether the requests may be sent; see ``LeadRecorder``."""
        recording = await self._claims.record_resumes(
            group.name, claim, processes
        )
        if recording is not LeadRecording.recorded:
            logger.bind(group=group.name, outcome=recording.value).warning(
                'resumes_not_recorded'
            )
        return recording is not LeadRecording.superseded


async def _find_paused(
    members: Iterable[Member], token: int
) -> Collection[Member]:
    """Return the members that are paused, and not by a newer claim."""
    reports = await fetch_all_statuses(members)
    return [
        each.member
        for each in reports.values()
        if 0 < each.status.paused_term <= token
    ]
