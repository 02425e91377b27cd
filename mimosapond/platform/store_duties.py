"""Claims kept as rows of the platform's store.

The version that the store gives to the writing of a claim is the fencing
token: it comes from one counter of the store, so it is never used twice and
grows with each claim.
"""

import json
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    DutyTaken,
    DutyUnknown,
)
from mimosapond.platform.store_client import (
    ConditionFailed,
    StoreClient,
    StoredRow,
    StoredRows,
    Unavailable,
)

_TABLE: Final = 'mimosapond-duties'
# A holder that has not ended its work after this time is taken for lost.
_CLAIM_DURATION_MS: Final = 2500
_MS_PER_S: Final = 1000
_CALL_TIMEOUT_S: Final = 0.8
_RESERVATION_PREFIX: Final = 'reserve/'


@final
class StoreDuties:
    """Claims of one host; see ``ClaimPort``."""

    def __init__(self, store: StoreClient, host: str, now: Now) -> None:
        """Take the store and the name under which this host claims."""
        self._store = store
        self._host = host
        self._now = now

    async def reserve(self) -> int | None:
        """Take a token for a time in which the store does not answer.

        Its row belongs to this host alone, so no other can take the same.
        """
        found = await self._store.read_table(_TABLE, _CALL_TIMEOUT_S)
        if isinstance(found, Unavailable):
            return None
        row = _find_row(found, f'{_RESERVATION_PREFIX}{self._host}')
        written = await self._store.compare_and_set(
            _TABLE, row, _CALL_TIMEOUT_S
        )
        if isinstance(written, StoredRows):
            return written.version
        return None

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim a group for a short time."""
        expires_s = self._now() + _CLAIM_DURATION_MS / _MS_PER_S
        found = await self._store.read_table(_TABLE, _CALL_TIMEOUT_S)
        if isinstance(found, Unavailable):
            return DutyUnknown(found.reason)
        row = _find_row(found, group)
        holder = _active_holder(row, found.now_ms)
        if holder not in {'', self._host}:
            return DutyTaken(holder)
        return await self._write_claim(row, found.now_ms, expires_s)

    async def release(self, group: str) -> None:
        """Let other hosts claim the group at once."""
        found = await self._store.read_table(_TABLE, _CALL_TIMEOUT_S)
        if isinstance(found, Unavailable):
            logger.bind(group=group, reason=found.reason).warning(
                'duty_not_released',
            )
            return
        row = _find_row(found, group)
        if _active_holder(row, found.now_ms) == self._host:
            ended = StoredRow(group, b'{}', row.version)
            await self._store.compare_and_set(_TABLE, ended, _CALL_TIMEOUT_S)

    async def _write_claim(
        self, row: StoredRow, now_ms: int, expires_s: float
    ) -> ClaimOutcome:
        content = json.dumps({'holder': self._host, 'claimed_ms': now_ms})
        claim = StoredRow(row.key, content.encode(), row.version)
        written = await self._store.compare_and_set(
            _TABLE, claim, _CALL_TIMEOUT_S
        )
        match written:
            case StoredRows(version=version):
                return DutyClaim(version, expires_s)
            case ConditionFailed():
                return DutyTaken('another host, just now')
            case Unavailable(reason=reason):
                return DutyUnknown(reason)


def _find_row(found: StoredRows, group: str) -> StoredRow:
    for row in found.rows:
        if row.key == group:
            return row
    return StoredRow(group, None, 0)


def _active_holder(row: StoredRow, now_ms: int) -> str:
    body = json.loads(row.content or b'{}')
    if now_ms - body.get('claimed_ms', 0) > _CLAIM_DURATION_MS:
        return ''
    return str(body.get('holder', ''))
