"""Claims on groups, stored as rows in the platform's store.

The version that the store assigns to the write of a claim is the fencing
token. Versions come from a single counter of the store, so no token is used
twice and each claim has a higher token than all earlier ones.
"""

import json
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import (
    CLAIM_DURATION_S,
    DutyClaim,
    ClaimOutcome,
    DutyTaken,
    DutyUnknown,
)
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_rows import (
    ConditionFailed,
    StoredRow,
    StoredRows,
    Unavailable,
)

_TABLE: Final = 'mimosapond-duties'
_MS_PER_S: Final = 1000
_CLAIM_DURATION_MS: Final = CLAIM_DURATION_S * _MS_PER_S
_CALL_TIMEOUT_S: Final = 0.8
_RESERVATION_PREFIX: Final = 'reserve/'


@final
@attrs.frozen
class _StoredClaim:
    """A claim in a row; a released one has no holder."""

    holder: str
    claimed_ms: int


@final
class StoreClaims:
    """Claims of one host; implements ``ClaimPort``."""

    def __init__(self, store: StoreClient, host: str, now: Now) -> None:
        """Create the claims of a host.

        Parameters
        ----------
        host
            Name of this host, which is stored as the holder of its claims.
        now
            Clock of ``DutyClaim.expires_s``.
        """
        self._store = store
        self._host = host
        self._now = now

    async def reserve(self) -> int | None:
        """Reserve a token for use while the store is unavailable.

        Each host writes a row of its own for this. The version of that write
        is the token, so no other host can get the same one.

        Returns
        -------
        int or None
            None if the write was not confirmed.
        """
        row_key = f'{_RESERVATION_PREFIX}{self._host}'
        found = await self._read(row_key)
        if isinstance(found, Unavailable):
            return None
        row = _find_row(found, row_key)
        written = await self._store.compare_and_set(
            _TABLE, row, _CALL_TIMEOUT_S
        )
        if isinstance(written, StoredRows):
            return written.version
        return None

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim a group until the claim is released or expires.

        Returns
        -------
        ClaimOutcome
            DutyUnknown if the store gave no usable answer; the claim may
            have been written, but must not be relied on.
        """
        expires_s = self._now() + CLAIM_DURATION_S
        found = await self._read(group)
        if isinstance(found, Unavailable):
            return DutyUnknown(found.reason)
        row = _find_row(found, group)
        holder = active_holder(row, found.now_ms)
        if holder not in {'', self._host}:
            return DutyTaken(holder)
        return await self._write_claim(row, found.now_ms, expires_s)

    async def release(self, group: str) -> None:
        """Release this host's claim, so that others need not await its expiry."""
        found = await self._read(group)
        if isinstance(found, Unavailable):
            logger.bind(group=group, reason=found.reason).warning(
                'duty_not_released',
            )
            return
        row = _find_row(found, group)
        if active_holder(row, found.now_ms) != self._host:
            return
        released = StoredRow(group, b'{}', row.version)
        written = await self._store.compare_and_set(
            _TABLE, released, _CALL_TIMEOUT_S
        )
        if not isinstance(written, StoredRows):
            logger.bind(group=group, reason=str(written)).warning(
                'duty_not_released'
            )

    async def _read(self, row_key: str) -> StoredRows | Unavailable:
        return await self._store.read_row(_TABLE, row_key, _CALL_TIMEOUT_S)

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
                return DutyTaken('another host, at the same time')
            case Unavailable(reason=reason):
                return DutyUnknown(reason)


def _find_row(found: StoredRows, row_key: str) -> StoredRow:
    for row in found.rows:
        if row.key == row_key:
            return row
    return StoredRow(row_key, None, 0)


def active_holder(row: StoredRow, now_ms: int) -> str:
    """Return the host that holds an unexpired claim; empty if none does.

    A row that another program wrote, or that claims a time to come, holds
    nothing: it would block every change of the group.
    """
    if row.content is None:
        return ''
    claim = _decode_claim(row.content)
    if claim is None:
        logger.bind(row=row.key).warning('claim_unreadable')
        return ''
    age_ms = now_ms - claim.claimed_ms
    return claim.holder if 0 <= age_ms <= _CLAIM_DURATION_MS else ''


def _decode_claim(content: bytes) -> _StoredClaim | None:
    body = decode_json_object(content)
    match body:
        case UndecodableJson():
            return None
        case {'holder': str(holder), 'claimed_ms': int(claimed_ms)}:
            return _StoredClaim(holder, claimed_ms)
        case _ if not body:
            return _StoredClaim('', 0)
        case _:
            return None
