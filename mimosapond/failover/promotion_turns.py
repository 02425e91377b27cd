"""Keeps two hosts from promoting members of a group in turn.

A claim under which a promotion was called is kept until it expires, so that the
same host makes the next attempt. If it were released at once, the other hosts,
which see the same lost or leaving primary, would each try in turn.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import ClaimPort, DutyClaim

# Time after a promotion call within which no other host may call.
_TURN_S: Final = 3.0


@final
class PromotionTurns:
    """Records the promotion calls of this host and holds its claims."""

    def __init__(self, claims: ClaimPort, now: Now) -> None:
        """Create a record without calls."""
        self._claims = claims
        self._now = now
        self._called_s: dict[str, float] = {}

    async def record_call(self, group: str, claim: DutyClaim) -> None:
        """Record a promotion call, and renew a claim that would end too soon.

        A renewal that fails is not repeated: the store is unavailable, or
        another host has followed.
        """
        self._called_s[group] = self._now()
        if claim.expires_s - self._now() < _TURN_S:
            await self._claims.claim(group)

    async def release(self, group: str) -> None:
        """Release a claim, unless a promotion was called a short time ago."""
        called_s = self._called_s.get(group)
        if called_s is None or self._now() - called_s > _TURN_S:
            await self._claims.release(group)
