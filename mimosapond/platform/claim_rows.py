"""Rows of claims on groups, and their JSON form.

A row that cannot be decoded counts as one without a claim and without a record.
"""

import json
from typing import Final, final

import attrs
from cattrs.preconf.json import make_converter
from loguru import logger

from mimosapond.failover.claim_port import CLAIM_DURATION_S
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.resume_request import ResumeRequest
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.platform.store_rows import StoredRow

_MS_PER_S: Final = 1000
_CLAIM_DURATION_MS: Final = CLAIM_DURATION_S * _MS_PER_S
# Fields that a newer version of the product adds are ignored.
_CONVERTER: Final = make_converter(detailed_validation=False)


@final
@attrs.frozen
class StoredClaim:
    """A claim in a row; a released one has no holder."""

    holder: str = ''
    claimed_ms: int = 0
    lead: Lead | None = None
    witnesses: tuple[MemberProcess, ...] | None = None
    called_ids: tuple[str, ...] = ()
    resume_requests: tuple[ResumeRequest, ...] = ()

    @property
    def record(self) -> GroupRecord:
        """What the claim keeps about the group."""
        witnesses = self.witnesses
        return GroupRecord(
            self.lead,
            None if witnesses is None else frozenset(witnesses),
            self.called_ids,
            self.resume_requests,
        )

    def with_record(self, record: GroupRecord) -> 'StoredClaim':
        """Return the claim with another record."""
        witnesses = record.witnesses
        return attrs.evolve(
            self,
            lead=record.lead,
            witnesses=None if witnesses is None else tuple(sorted(witnesses)),
            called_ids=record.called_ids,
            resume_requests=record.resume_requests,
        )


def active_holder(row: StoredRow, now_ms: int) -> str:
    """Return the host that holds an unexpired claim; empty if none does.

    A row that another program wrote, or that claims a time to come, holds
    nothing: it would block every change of the group.
    """
    claim = decode_claim(row)
    age_ms = now_ms - claim.claimed_ms
    return claim.holder if 0 <= age_ms <= _CLAIM_DURATION_MS else ''


def encode_claim(claim: StoredClaim) -> bytes:
    """Return the content of the row of a claim."""
    body = _CONVERTER.unstructure(claim)
    return json.dumps(body).encode()


def decode_claim(row: StoredRow) -> StoredClaim:
    """Return the claim in a row; one without a holder if there is none."""
    if row.content is None:
        return StoredClaim()
    body = decode_json_object(row.content)
    if isinstance(body, UndecodableJson):
        logger.bind(row=row.key).warning('claim_unreadable')
        return StoredClaim()
    try:
        return _CONVERTER.structure(body, StoredClaim)
    except (AttributeError, KeyError, TypeError, ValueError):
        logger.bind(row=row.key).warning('claim_unreadable')
        return StoredClaim()
