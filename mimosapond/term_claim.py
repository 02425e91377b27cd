"""The platform's row of a group's newest term, which prevents duels.

Grants of a majority of members decide who gets a term. The row only keeps
two promoters from replacing each other, so an outage is no obstacle.
"""

import asyncio
import enum
from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.platform_port import PlatformPort
from mimosapond.platform_results import Row, RowConflict, RowWritten
from mimosapond.term_parts import TermParts

_TERM: Final = 'term'
_HOST: Final = 'host_id'


@final
class Claim(enum.StrEnum):
    """Result of an attempt to claim a term."""

    CLAIMED = 'claimed'
    OTHER = 'claimed_by_another_host'
    UNAVAILABLE = 'platform_unavailable'


@final
class TermClaims:
    """Claims terms in the rows ``terms/<group>``."""

    def __init__(self, parts: TermParts, platform: PlatformPort) -> None:
        """Claim for the host of ``parts``."""
        self._parts = parts
        self._platform = platform
        self._seen: dict[str, int] = {}

    async def claim(self, group: str, term: int) -> Claim:
        """Set the row to ``term``; give up after the lock timeout."""
        timeout_s = self._parts.options.platform_lock_timeout_ms / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                return await self._claim(group, term, timeout_s)
        except TimeoutError:
            return Claim.UNAVAILABLE

    async def _claim(self, group: str, term: int, timeout_s: float) -> Claim:
        key = f'terms/{group}'
        row = await self._platform.read_row(key, timeout_s)
        if not isinstance(row, Row):
            return Claim.UNAVAILABLE
        if self._is_other_promoting(group, row, term):
            return Claim.OTHER
        written = await self._platform.compare_and_set(
            key,
            row.revision,
            {_TERM: term, _HOST: self._parts.host_id},
            timeout_s,
        )
        match written:
            case RowWritten():
                return Claim.CLAIMED
            case RowConflict():
                return Claim.OTHER
            case _:
                return Claim.UNAVAILABLE

    def _is_other_promoting(self, group: str, row: Row, term: int) -> bool:
        """Tell whether a claim is seen for the first time.

        A claim that is still there at the next attempt was left by a host
        that died or failed, and is overwritten.
        """
        if row.payload is None or row.payload.get(_TERM, 0) < term:
            return False
        if row.payload.get(_HOST) == self._parts.host_id:
            return False
        is_new = self._seen.get(group) != row.revision
        self._seen[group] = row.revision
        return is_new
