"""Claims a group's next term in a row of the platform.

The grants of a majority of members decide which host gets a term. The row only
keeps two hosts from replacing each other's primary in turn, so a term can also
be acquired while the platform is unreachable.
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
        """Claim in the name of the host of ``parts``."""
        self._parts = parts
        self._platform = platform
        self._seen_revisions: dict[str, int] = {}

    async def claim(self, group: str, term: int) -> Claim:
        """Write ``term`` and this host into the row of ``group``.

        Returns
        -------
        Claim
            ``OTHER`` if another host claims this term or a higher one, or
            wrote the row at the same time. ``UNAVAILABLE`` if the platform
            did not answer within ``platform_lock_timeout_ms``; the row may be
            written nevertheless.
        """
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
        """Return whether another host may be promoting at this moment.

        A claim by another host of ``term`` or a higher term counts when it is
        seen for the first time. A claim that is unchanged at the next attempt
        belongs to a host that died or failed, and is overwritten.
        """
        if row.payload is None or row.payload.get(_TERM, 0) < term:
            return False
        if row.payload.get(_HOST) == self._parts.host_id:
            return False
        is_new = self._seen_revisions.get(group) != row.revision
        self._seen_revisions[group] = row.revision
        return is_new
