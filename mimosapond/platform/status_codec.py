"""Decodes what a member reports of itself."""

from typing import Final

from mimosapond.groups.member_status import MemberStatus
from mimosapond.platform.position_codec import decode_position

_FIELD_COUNT: Final = 4


def decode_status(rows: tuple[str, ...]) -> MemberStatus:
    """Return the status of the rows.

    Raises
    ------
    ValueError
        The rows are no status.
    """
    fields = rows[0].split(' ') if rows else []
    if len(fields) < _FIELD_COUNT:
        raise ValueError('fields are missing')
    received = decode_position(fields[2])
    if received is None:
        raise ValueError('the position is missing')
    # The fourth field is the term of the pause that the member holds.
    paused_term = int(fields[3]) if fields[3].isdecimal() else 0
    return MemberStatus(
        is_primary=fields[0] == 'primary',
        term=int(fields[1]),
        received=received,
        paused_term=paused_term,
    )
