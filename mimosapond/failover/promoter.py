"""Promotion of a member through the platform."""

import asyncio
import enum
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import DutyClaim
from mimosapond.failover.control_requests import MemberReport, fetch_status
from mimosapond.failover.promotion_call_log import PromotionCallLog
from mimosapond.failover.promotion_port import Promoted, PromotionPort
from mimosapond.failover.promotion_port import PromotionRefused
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult

_CALL_TIMEOUT_S: Final = 1.0
_ATTEMPT_COUNT: Final = 4
# After an accepted call, up to a second passes until the member leads.
_LEADERSHIP_TIMEOUT_S: Final = 2.0
_LEADERSHIP_POLL_INTERVAL_S: Final = 0.02


@final
class PromotionResult(enum.Enum):
    """Result of a promotion."""

    leads = 'leads'
    # The platform agreed, but the member has not been seen to lead yet.
    accepted = 'accepted'
    refused = 'refused'
    # The claim expired before the first call, so nothing was called.
    not_called = 'not_called'
    # No call was answered, so a call may still take effect.
    unknown = 'unknown'


@final
class Promoter:
    """Repeats the promotion call until its outcome is known."""

    def __init__(
        self, port: PromotionPort, probe: PrimaryProbe, now: Now
    ) -> None:
        """Create a promoter.

        Parameters
        ----------
        port
            Calls the platform.
        probe
            Shows whether the promoted member leads.
        """
        self._port = port
        self._probe = probe
        self._now = now

    async def promote(
        self, group: Group, candidate: MemberReport, claim: DutyClaim
    ) -> PromotionResult:
        """Promote a member and wait until it leads.

        A call without an answer is repeated while the member has what it had. It
        may have started again without its log, or have been replaced as the
        primary, since it was asked.

        The caller holds the claim meanwhile, so that no other host starts a
        change before the member leads. Nothing is called under a claim that
        has expired: this host may have been suspended, and another one may
        have followed.

        Parameters
        ----------
        candidate
            The member to promote and its last status.
        claim
            Claim of this host; its token fences the calls.
        """
        result = PromotionResult.not_called
        log = PromotionCallLog(group, candidate, claim.token, self._now)
        for attempt in range(_ATTEMPT_COUNT):
            if attempt and not await _is_unchanged(candidate):
                logger.bind(
                    group=group.name, member=candidate.member.member_id
                ).warning('promotion_not_repeated')
                return result
            if self._now() >= claim.expires_s:
                logger.bind(group=group.name, token=claim.token).warning(
                    'promotion_claim_expired'
                )
                return result
            result = PromotionResult.unknown
            log.log_call()
            outcome = await self._port.promote(
                group.name,
                candidate.member.member_id,
                claim.token,
                _CALL_TIMEOUT_S,
            )
            log.log_answer(outcome)
            if isinstance(outcome, Promoted):
                result = await self._await_leadership(group, candidate.member)
                log.log_effect(leads=result is PromotionResult.leads)
                return result
            if isinstance(outcome, PromotionRefused):
                return PromotionResult.refused
        return result

    async def _await_leadership(
        self, group: Group, member: Member
    ) -> PromotionResult:
        deadline_s = self._now() + _LEADERSHIP_TIMEOUT_S
        while self._now() < deadline_s:
            result = await self._probe.ask(group, member)
            if result is ProbeResult.leads:
                return PromotionResult.leads
            await asyncio.sleep(_LEADERSHIP_POLL_INTERVAL_S)
        return PromotionResult.accepted


async def _is_unchanged(candidate: MemberReport) -> bool:
    """Return whether a member may still be promoted as it was reported."""
    status = await fetch_status(candidate.member)
    if status is None:
        return False
    if candidate.status.is_primary:
        return status.leads_as(candidate.status)
    has_log = status.received >= candidate.status.received
    is_paused = status.paused_term == candidate.status.paused_term
    return status.is_primary or (has_log and is_paused)
