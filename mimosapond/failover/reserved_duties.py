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
from mimosapond.failover.duty_port import (
    DutyClaim,
    DutyOutcome,
    DutyPort,
    DutyUnknown,
)

# Hosts that see a primary lost at the same time act one after another.
_STAGGER_S: Final = 0.4
_RETRY_S: Final = 1.0
# A token that was refused as too low will be refused again.
_USE_COUNT: Final = 3
# As long as a claim at the store.
_HOLD_S: Final = 2.5
# Tokens that were taken before those of later claims are refused.
_RENEW_S: Final = 20.0


@final
class ReservedDuties:
    """Claims at the store, or else by a token taken in advance."""

    def __init__(self, store: DutyPort, now: Now) -> None:
        """Take the claims at the store."""
        self._now = now
        self._store = store
        self._token: int | None = None
        self._uses: Counter[str] = Counter()
        self._renew = asyncio.Event()

    async def run(self) -> None:
        """Keep a token in reserve until cancelled."""
        while True:
            self._renew.clear()
            token = await self._store.reserve()
            if token is None:
                await asyncio.sleep(_RETRY_S)
                continue
            self._token = token
            self._uses.clear()
            try:
                async with asyncio.timeout(_RENEW_S):
                    await self._renew.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(random.random())

    async def claim(self, group: str) -> DutyOutcome:
        """Claim a group for a short time."""
        outcome = await self._store.claim(group)
        if not isinstance(outcome, DutyUnknown):
            self._renew.set()
            return outcome
        if self._token is None or self._uses[group] >= _USE_COUNT:
            return outcome
        self._uses[group] += 1
        await asyncio.sleep(random.random() * _STAGGER_S)
        logger.bind(
            group=group, token=self._token, reason=outcome.reason
        ).warning('reserved_token_used')
        return DutyClaim(self._token, self._now() + _HOLD_S)

    async def reserve(self) -> int | None:
        """Return the token that is held."""
        return self._token

    async def release(self, group: str) -> None:
        """Let other hosts claim the group at once."""
        await self._store.release(group)
