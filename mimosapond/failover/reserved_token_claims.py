"""Claims that are possible also while the store does not answer.

Each host takes a token in advance for use in an outage. The tokens of hosts
differ, and the platform refuses the lower of two.
"""

import asyncio
import random
from collections import Counter
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    ClaimPort,
    DutyUnknown,
)

# Hosts that see a primary lost at the same time act one after another.
_MAX_STAGGER_S: Final = 0.4
_RESERVE_RETRY_DELAY_S: Final = 1.0
# A token that was refused as too low will be refused again.
_MAX_USE_COUNT: Final = 3
# As long as a claim at the store.
_CLAIM_DURATION_S: Final = 2.5
# Tokens that were taken before those of later claims are refused.
_TOKEN_RENEWAL_INTERVAL_S: Final = 20.0


@final
class ReservedTokenClaims:
    """Claims at the store, or else by a token taken in advance."""

    def __init__(self, store: ClaimPort, now: Now) -> None:
        """Take the claims at the store."""
        self._now = now
        self._store = store
        self._token: int | None = None
        self._use_counts: Counter[str] = Counter()
        self._renewal_wanted = asyncio.Event()

    async def run(self) -> None:
        """Keep a token in reserve until cancelled."""
        while True:
            self._renewal_wanted.clear()
            token = await self._store.reserve()
            if token is None:
                await asyncio.sleep(_RESERVE_RETRY_DELAY_S)
                continue
            self._token = token
            self._use_counts.clear()
            try:
                async with asyncio.timeout(_TOKEN_RENEWAL_INTERVAL_S):
                    await self._renewal_wanted.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(random.random())

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim a group for a short time."""
        outcome = await self._store.claim(group)
        if not isinstance(outcome, DutyUnknown):
            self._renewal_wanted.set()
            return outcome
        if self._token is None or self._use_counts[group] >= _MAX_USE_COUNT:
            return outcome
        self._use_counts[group] += 1
        await asyncio.sleep(random.random() * _MAX_STAGGER_S)
        logger.bind(
            group=group, token=self._token, reason=outcome.reason
        ).warning('reserved_token_used')
        return DutyClaim(self._token, self._now() + _CLAIM_DURATION_S)

    async def reserve(self) -> int | None:
        """Return the token that is held."""
        return self._token

    async def release(self, group: str) -> None:
        """Let other hosts claim the group at once."""
        await self._store.release(group)
