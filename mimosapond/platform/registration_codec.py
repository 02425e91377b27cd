"""Decodes the registrations of members in the platform's store."""

import json
from collections.abc import Mapping
from typing import Any

from mimosapond.groups.member_record import MemberRecord

_STATES = frozenset(('ready', 'draining'))


def decode_registration(
    member_id: str,
    content: bytes,
) -> MemberRecord | str:
    """Return the record, or why the content is not a valid registration.

    Other programs write to the same table, so any content is possible.
    """
    try:
        entry = json.loads(content)
    except ValueError:
        return 'the entry is not JSON'
    if not isinstance(entry, Mapping):
        return 'the entry is not a JSON object'
    return _decode_entry(member_id, entry)


def _decode_entry(
    member_id: str, entry: Mapping[str, Any]
) -> MemberRecord | str:
    for field in ('service', 'addr', 'zone', 'state'):
        if not isinstance(entry.get(field), str):
            return f'{field} is missing or not a text'
    ip, colon, port = entry['addr'].rpartition(':')
    if not colon or not ip or not port.isdecimal():
        return 'addr is not ip:port'
    if entry['state'] not in _STATES:
        return 'state is not known'
    return MemberRecord(
        member_id=member_id,
        group=entry['service'],
        ip=ip,
        port=int(port),
        data_centre=entry['zone'],
        is_leaving=entry['state'] == 'draining',
        reports_primary=entry.get('db_role') == 'primary',
    )
