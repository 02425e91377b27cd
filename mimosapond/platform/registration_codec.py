"""Decodes the registrations of members."""

import json
from collections.abc import Mapping
from typing import Any

from mimosapond.groups.member_record import MemberRecord

_STATES = frozenset(('ready', 'draining'))


def decode_registration(
    member_id: str,
    content: bytes,
) -> MemberRecord | str:
    """Return the record, or what is wrong with an entry of another writer."""
    try:
        entry = json.loads(content)
    except ValueError:
        return 'no JSON'
    if not isinstance(entry, Mapping):
        return 'no mapping'
    return _decode_entry(member_id, entry)


def _decode_entry(
    member_id: str, entry: Mapping[str, Any]
) -> MemberRecord | str:
    for field in ('service', 'addr', 'zone', 'state'):
        if not isinstance(entry.get(field), str):
            return f'{field} is missing or no text'
    ip, colon, port = entry['addr'].rpartition(':')
    if not colon or not ip or not port.isdecimal():
        return 'addr is no address'
    if entry['state'] not in _STATES:
        return 'state is unknown'
    return MemberRecord(
        member_id=member_id,
        group=entry['service'],
        ip=ip,
        port=int(port),
        data_centre=entry['zone'],
        is_leaving=entry['state'] == 'draining',
        reports_primary=entry.get('db_role') == 'primary',
    )
