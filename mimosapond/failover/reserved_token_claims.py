"""Claims that remain possible while the store is unavailable.

Each host reserves a fencing token in advance and uses it during an outage of
the store. No two hosts have the same token, and after a call with one token
the platform refuses calls with a lower token.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import (
    CLAIM_DURATION_S,
    DutyClaim,
    ClaimOutcome,
    ClaimPort,
    DutyUnknown,
    FoundRecord,
)
from mimosapond.failover.lead_record import (
    LeadRecord,
    LeadRecording,
    LeadUnknown,
)
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess

# Upper limit of a random delay before a reserved token is used, so that hosts
# that lose a primary at the same time act one after another.
_MAX_STAGGER_S: Final = 0.4
_RESERVE_RETRY_DELAY_S: Final = 1.0
# Maximum number of claims on one group with the same reserved token. A token
# that the platform refused as too low will be refused again.
_MAX_USE_COUNT: Final = 3
# A reserved token has to be renewed, as it is refused once a later claim has
# used a higher token.
_TOKEN_RENEWAL_INTERVAL_S: Final = 20.0


@final
class ReservedTokenClaims:
    """Claims a group at the store, or with a reserved token in an outage."""

    def __init__(
        self, store: ClaimPort, now: Now, is_needed: Callable[[], bool]
    ) -> None:
        """Create the claims of this host, without a reserved token yet.

        Parameters
        ----------
        store
            Grants claims while the store answers.
        is_needed
            Tells whether a token is to be reserved now. It must return False
            where the platform does not refuse a token that is lower than one
            it has seen: a reserved token may be older than a claim.
        """
        self._is_needed = is_needed
        self._now = now
        self._store = store
        self._token: int | None = None
        self._use_counts: Counter[str] = Counter()
        self._renewal_requested = asyncio.Event()

    async def run(self) -> None:
        """Keep a reserved token and renew it, until cancelled."""
        while True:
            self._renewal_requested.clear()
            if not self._is_needed():
                self._token = None
                await asyncio.sleep(_RESERVE_RETRY_DELAY_S)
                continue
            token = await self._store.reserve()
            if token is None:
                await asyncio.sleep(_RESERVE_RETRY_DELAY_S)
                continue
            self._token = token
            self._use_counts.clear()
            try:
                async with asyncio.timeout(_TOKEN_RENEWAL_INTERVAL_S):
                    await self._renewal_requested.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(random.random())

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim a group at the store, or with the reserved token.

        The reserved token is used only if the store does not answer. The
        result is ``DutyUnknown`` if there is no token, or if it has been used
        for this group too often.
        """
        outcome = await self._store.claim(group)
        if not isinstance(outcome, DutyUnknown):
            self._renewal_requested.set()
            return outcome
        if self._token is None or self._use_counts[group] >= _MAX_USE_COUNT:
            return outcome
        self._use_counts[group] += 1
        await asyncio.sleep(random.random() * _MAX_STAGGER_S)
        logger.bind(
            group=group, token=self._token, reason=outcome.reason
        ).warning('reserved_token_used')
        expires_s = self._now() + CLAIM_DURATION_S
        return DutyClaim(self._token, expires_s, LeadUnknown())

    async def record_lead(
        self, group: str, claim: DutyClaim, lead: Lead
    ) -> LeadRecording:
        """Record a lead, unless the claim was made without the store."""
        if isinstance(claim.lead, LeadUnknown):
            return LeadRecording.unknown
        return await self._store.record_lead(group, claim, lead)

    async def record_call(
        self, group: str, claim: DutyClaim, member_id: str
    ) -> LeadRecording:
        """Record a call, unless the claim was made without the store."""
        if isinstance(claim.lead, LeadUnknown):
            return LeadRecording.unknown
        return await self._store.record_call(group, claim, member_id)

    async def settle_lead(
        self, group: str, known: LeadRecord, lead: LeadRecord
    ) -> bool:
        """Settle a lead, unless the claim was made without the store."""
        if isinstance(known, LeadUnknown):
            return False
        return await self._store.settle_lead(group, known, lead)

    async def record_resumes(
        self, group: str, claim: DutyClaim, processes: frozenset[MemberProcess]
    ) -> LeadRecording:
        """Record requests, unless the claim was made without the store."""
        if isinstance(claim.lead, LeadUnknown):
            return LeadRecording.unknown
        return await self._store.record_resumes(group, claim, processes)

    async def forget_resumes(
        self, group: str, processes: frozenset[MemberProcess]
    ) -> None:
        """Forget requests at the store."""
        await self._store.forget_resumes(group, processes)

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record that the store has."""
        return await self._store.read_record(group)

    async def replace_record(
        self, group: str, found: FoundRecord, record: GroupRecord
    ) -> bool:
        """Replace the record in the store."""
        return await self._store.replace_record(group, found, record)

    async def reserve(self) -> int | None:
        """Return the reserved token, or None if there is none yet."""
        return self._token

    async def release(self, group: str) -> None:
        """Give up the claim before it expires, so that others can claim."""
        await self._store.release(group)
