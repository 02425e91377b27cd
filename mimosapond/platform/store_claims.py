"""Claims on groups, stored as rows in the platform's store.

The version that the store assigns to the write of a claim is the fencing
token. Versions come from a single counter of the store, so no token is used
twice and each claim has a higher token than all earlier ones. The row also keeps
the record of the group: its last lead, its witnesses, and the calls that were made
since. A lead or a call is written on the condition that the row is still at the
version of the claim, so a host whose claim was followed by another one cannot write
it. Witnesses are written on the condition that the row is unchanged since it was
read without a claim.
"""

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
    FoundRecord,
)
from mimosapond.failover.lead_record import LeadRecord, LeadRecording, NoLead
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.resume_request import ResumeRequest
from mimosapond.platform.claim_rows import (
    StoredClaim,
    active_holder,
    decode_claim,
    encode_claim,
)
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_rows import (
    ConditionFailed,
    StoredRow,
    StoredRows,
    Unavailable,
)

_TABLE: Final = 'mimosapond-duties'
_CALL_TIMEOUT_S: Final = 0.8
_RESERVATION_PREFIX: Final = 'reserve/'


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
        # The last claim of this host on each group, as it was written.
        self._written: dict[str, StoredClaim] = {}
        # The last requests to resume of this host.
        self._resumes: dict[str, tuple[ResumeRequest, ...]] = {}

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
        stored = decode_claim(row)
        self._written[group] = attrs.evolve(
            stored,
            holder=self._host,
            claimed_ms=found.now_ms,
            resume_requests=stored.record.pending_resumes(found.now_ms),
        )
        return await self._write_claim(row, self._written[group], expires_s)

    async def record_lead(
        self, group: str, claim: DutyClaim, lead: Lead
    ) -> LeadRecording:
        """Record a lead in the row of the claim under which it begins."""
        record = self._written[group].record.called(lead.member_id)
        return await self._record(group, claim, attrs.evolve(record, lead=lead))

    async def record_call(
        self, group: str, claim: DutyClaim, member_id: str
    ) -> LeadRecording:
        """Record a call in the row of the claim under which it is made."""
        record = self._written[group].record.called(member_id)
        return await self._record(group, claim, record)

    async def settle_lead(
        self, group: str, known: LeadRecord, lead: LeadRecord
    ) -> bool:
        """Replace the lead in the row of a claim that this host holds."""
        found = await self._read(group)
        if isinstance(found, Unavailable):
            return False
        row = _find_row(found, group)
        stored = decode_claim(row)
        is_same_lead = (stored.lead or NoLead()) == known
        if active_holder(row, found.now_ms) != self._host or not is_same_lead:
            return False
        settled = stored.record.settled(
            lead if isinstance(lead, Lead) else None
        )
        if settled == stored.record:
            return True
        return await self._replace(row, stored.with_record(settled))

    async def record_resumes(
        self, group: str, claim: DutyClaim, processes: frozenset[MemberProcess]
    ) -> LeadRecording:
        """Record requests in the row of a claim that this host holds."""
        self._resumes.pop(group, None)
        found = await self._read(group)
        if isinstance(found, Unavailable):
            return LeadRecording.unknown
        row = _find_row(found, group)
        if active_holder(row, found.now_ms) != self._host:
            return LeadRecording.superseded
        self._resumes[group] = tuple(
            ResumeRequest(process, found.now_ms)
            for process in sorted(processes)
        )
        stored = decode_claim(row)
        pending = stored.record.pending_resumes(found.now_ms)
        return await self._write(
            row,
            attrs.evolve(
                stored, resume_requests=(*pending, *self._resumes[group])
            ),
        )

    async def forget_resumes(
        self, group: str, processes: frozenset[MemberProcess]
    ) -> None:
        """Forget requests, unless another host holds the claim by now."""
        found = await self._read(group)
        if isinstance(found, Unavailable):
            return
        row = _find_row(found, group)
        if active_holder(row, found.now_ms) not in {'', self._host}:
            return
        stored = decode_claim(row)
        answered = {
            each
            for each in self._resumes.pop(group, ())
            if each.process in processes
        }
        pending = tuple(
            each for each in stored.resume_requests if each not in answered
        )
        await self._write(row, attrs.evolve(stored, resume_requests=pending))

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record in the row of the group's claim."""
        found = await self._read(group)
        if isinstance(found, Unavailable):
            return None
        row = _find_row(found, group)
        return FoundRecord(
            decode_claim(row).record,
            row.version,
            is_claimed=bool(active_holder(row, found.now_ms)),
        )

    async def replace_record(
        self, group: str, found: FoundRecord, record: GroupRecord
    ) -> bool:
        """Replace the record, if the row is as it was found."""
        if found.is_claimed:
            return False
        return await self._replace(
            StoredRow(group, None, found.version),
            StoredClaim().with_record(record),
        )

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
        released = attrs.evolve(decode_claim(row), holder='', claimed_ms=0)
        if not await self._replace(row, released):
            logger.bind(group=group, reason='not written').warning(
                'duty_not_released'
            )

    async def _record(
        self, group: str, claim: DutyClaim, record: GroupRecord
    ) -> LeadRecording:
        """Write a record on the condition that nobody has claimed since."""
        return await self._write(
            StoredRow(group, None, claim.token),
            self._written[group].with_record(record),
        )

    async def _write(self, row: StoredRow, claim: StoredClaim) -> LeadRecording:
        """Replace a row that has not changed since it was read."""
        written = await self._store.compare_and_set(
            _TABLE,
            StoredRow(row.key, encode_claim(claim), row.version),
            _CALL_TIMEOUT_S,
        )
        match written:
            case StoredRows():
                return LeadRecording.recorded
            case ConditionFailed():
                return LeadRecording.superseded
            case Unavailable():
                return LeadRecording.unknown

    async def _replace(self, row: StoredRow, claim: StoredClaim) -> bool:
        """Return whether a row was replaced, as far as is known."""
        return await self._write(row, claim) is LeadRecording.recorded

    async def _read(self, row_key: str) -> StoredRows | Unavailable:
        return await self._store.read_row(_TABLE, row_key, _CALL_TIMEOUT_S)

    async def _write_claim(
        self, row: StoredRow, claim: StoredClaim, expires_s: float
    ) -> ClaimOutcome:
        written = await self._store.compare_and_set(
            _TABLE,
            StoredRow(row.key, encode_claim(claim), row.version),
            _CALL_TIMEOUT_S,
        )
        match written:
            case StoredRows(version=version):
                return DutyClaim(
                    version,
                    expires_s,
                    claim.lead or NoLead(),
                    claim.record.witnesses,
                    frozenset(each.process for each in claim.resume_requests),
                )
            case ConditionFailed():
                return DutyTaken('another host, at the same time')
            case Unavailable(reason=reason):
                return DutyUnknown(reason)


def _find_row(found: StoredRows, row_key: str) -> StoredRow:
    for row in found.rows:
        if row.key == row_key:
            return row
    return StoredRow(row_key, None, 0)
