"""Has a member promoted and waits until it leads."""

import asyncio
import enum
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.control_requests import SurveyedMember
from mimosapond.failover.promotion_port import Promoted, PromotionPort
from mimosapond.failover.promotion_port import PromotionRefused
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult

_CALL_TIMEOUT_S: Final = 1.0
_ATTEMPT_COUNT: Final = 4
# The platform needs up to a second from the call until the member leads.
_LEAD_TIMEOUT_S: Final = 2.0
_LEAD_POLL_INTERVAL_S: Final = 0.02


@final
class PromotionEnd(enum.Enum):
    """What became of a promotion."""

    leads = 'leads'
    # The platform agreed, but the member has not been seen to lead yet.
    accepted = 'accepted'
    refused = 'refused'
    unknown = 'unknown'


@final
class Promoter:
    """Repeats the platform's call until its outcome is known."""

    def __init__(
        self, port: PromotionPort, probe: PrimaryProbe, now: Now
    ) -> None:
        """Take the platform's call and what shows the new primary."""
        self._port = port
        self._probe = probe
        self._now = now

    async def promote(
        self, group: Group, best: SurveyedMember, token: int
    ) -> PromotionEnd:
        """Return what became of the promotion.

        The claim is held meanwhile, so that no other host starts a change
        before the member leads.
        """
        for _ in range(_ATTEMPT_COUNT):
            outcome = await self._port.promote(
                group.name, best.member.member_id, token, _CALL_TIMEOUT_S
            )
            logger.bind(
                group=group.name,
                member=best.member.member_id,
                at=str(best.status.received),
                token=token,
                outcome=str(outcome),
            ).info('promotion')
            if isinstance(outcome, Promoted):
                return await self._await_lead(group, best.member)
            if isinstance(outcome, PromotionRefused):
                return PromotionEnd.refused
        return PromotionEnd.unknown

    async def _await_lead(self, group: Group, member: Member) -> PromotionEnd:
        deadline_s = self._now() + _LEAD_TIMEOUT_S
        while self._now() < deadline_s:
            result = await self._probe.ask(group, member)
            if result is ProbeResult.leads:
                return PromotionEnd.leads
            await asyncio.sleep(_LEAD_POLL_INTERVAL_S)
        return PromotionEnd.accepted
