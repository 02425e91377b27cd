"""Decodes the registrations of members in the platform's store."""

from collections.abc import Mapping
from typing import Any, Final

from mimosapond.groups.member_record import MemberRecord
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.platform.address_codec import decode_address

_STATES: Final = frozenset(('ready', 'draining'))
# Limit of keys in the store.
_MAX_NAME_CHARS: Final = 200
# Larger values are taken for mistakes of another writer, and ignored.
_MAX_SLOT_COUNT: Final = 10_000
_MAX_WARM_UP_MS: Final = 3_600_000


def decode_registration(
    member_id: str,
    content: bytes,
) -> MemberRecord | str:
    """Return the record, or why the content is not a valid registration.

    Other programs write to the same table, so any content is possible.
    """
    entry = decode_json_object(content)
    if isinstance(entry, UndecodableJson):
        return entry.problem
    return _decode_entry(member_id, entry)


def _decode_entry(
    member_id: str, entry: Mapping[str, Any]
) -> MemberRecord | str:
    for field in ('service', 'addr', 'zone', 'state'):
        if not isinstance(entry.get(field), str):
            return f'{field} is missing or not a text'
    if not (_is_name(member_id) and _is_name(entry['service'])):
        return 'the id or service is not a name'
    address = decode_address(entry['addr'])
    if address is None:
        return 'addr is not ip:port'
    if entry['state'] not in _STATES:
        return 'state is not known'
    return MemberRecord(
        member_id=member_id,
        group=entry['service'],
        ip=address.ip,
        port=address.port,
        data_centre=entry['zone'],
        is_leaving=entry['state'] == 'draining',
        reports_primary=entry.get('db_role') == 'primary',
        slot_count=_slot_count(entry.get('slots')),
        warm_up_left_ms=_warm_up_left_ms(entry.get('cold_left_ms')),
        born_ms=_born_ms(entry.get('born')),
    )


def _slot_count(field: Any) -> int | None:
    """Return the slots of a member; None if they are absent or odd."""
    is_count = isinstance(field, int) and not isinstance(field, bool)
    return field if is_count and 0 < field <= _MAX_SLOT_COUNT else None


def _warm_up_left_ms(field: Any) -> float | None:
    """Return the rest of the warm-up; None if it is absent or odd."""
    is_number = isinstance(field, int | float) and not isinstance(field, bool)
    return field if is_number and 0 <= field <= _MAX_WARM_UP_MS else None


def _born_ms(field: Any) -> int | None:
    """Return the start of a process; None if it is absent or odd."""
    is_number = isinstance(field, int) and not isinstance(field, bool)
    return field if is_number and field > 0 else None


def _is_name(text: str) -> bool:
    """Return whether a text can be a field of a line to a member."""
    is_word = text.isprintable() and ' ' not in text
    return is_word and 0 < len(text) <= _MAX_NAME_CHARS
