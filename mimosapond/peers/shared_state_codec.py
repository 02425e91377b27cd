"""JSON bodies with which hosts hand on the state of the platform's store."""

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from mimosapond.groups.member_record import MemberRecord
from mimosapond.peers.shared_state import SharedState

_MS_PER_S: Final = 1000
_DIGEST_BYTES: Final = 16
_NEVER_MS: Final = -1e9


def encode_records(records: Sequence[MemberRecord]) -> list[dict[str, Any]]:
    """Return the registrations as JSON objects."""
    return [attrs.asdict(record) for record in records]


def digest_records(records: Sequence[MemberRecord]) -> str:
    """Return a digest that differs if any registration does."""
    by_id = sorted(records, key=lambda record: record.member_id)
    content = json.dumps(encode_records(by_id), sort_keys=True).encode()
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def encode_state(state: SharedState, arrived_s: float) -> dict[str, Any]:
    """Return the JSON body of a state.

    Parameters
    ----------
    arrived_s
        Time at which the request arrived at this host, which times are given
        relative to.
    """
    body: dict[str, Any] = {
        'read_number': state.read_number,
        'registrations_read_ms': _to_ms(state.registrations_read_s - arrived_s),
        'unlisting_wait_ms': _to_ms(state.unlisting_wait_s),
        'configuration_answered_ms': _to_ms(
            state.configuration_answered_s - arrived_s
        ),
        'records_digest': state.records_digest,
    }
    if state.records is not None:
        body['records'] = encode_records(state.records)
    return body


def decode_state(body: Mapping[str, Any], asked_s: float) -> SharedState:
    """Return the state of a JSON body.

    Parameters
    ----------
    asked_s
        Time at which this host sent the request.

    Raises
    ------
    KeyError, TypeError, ValueError
        The body does not describe a state.
    """
    records = body.get('records')
    return SharedState(
        read_number=int(body['read_number']),
        registrations_read_s=asked_s + _to_s(body['registrations_read_ms']),
        unlisting_wait_s=_to_s(body['unlisting_wait_ms']),
        configuration_answered_s=(
            asked_s + _to_s(body['configuration_answered_ms'])
        ),
        records_digest=str(body['records_digest']),
        records=None if records is None else _decode_records(records),
    )


def _decode_records(entries: Any) -> tuple[MemberRecord, ...]:
    return tuple(_decode_record(entry) for entry in entries)


def _decode_record(entry: Mapping[str, Any]) -> MemberRecord:
    """Return a record whose fields have the types of the class."""
    fields = {
        field.name: entry[field.name]
        for field in attrs.fields(MemberRecord)
        if field.default is attrs.NOTHING or field.name in entry
    }
    for field in attrs.fields(MemberRecord):
        content = fields.get(field.name, field.default)
        if not _has_type(content, field.type):
            raise TypeError(field.name)
    return MemberRecord(**fields)


def _has_type(content: Any, expected: Any) -> bool:
    """Return whether content has a type; JSON writes 0.0 as 0."""
    if isinstance(content, int) and not isinstance(content, bool):
        return isinstance(content, expected) or isinstance(
            float(content), expected
        )
    return isinstance(content, expected)


def _to_ms(time_s: float) -> float:
    """Return milliseconds; minus infinity stands for never and has no JSON."""
    return max(time_s * _MS_PER_S, _NEVER_MS)


def _to_s(time_ms: Any) -> float:
    return float(time_ms) / _MS_PER_S
