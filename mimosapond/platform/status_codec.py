"""Decodes the status that a member reports about itself."""

from typing import Final

from mimosapond.groups.member_status import MemberStatus
from mimosapond.platform.position_codec import decode_position

_FIELD_COUNT: Final = 4


def decode_status(rows: tuple[str, ...]) -> MemberStatus:
    """Return the status in the first row of an answer to STATUS.

    Raises
    ------
    ValueError
        A field is missing or not a number.
    """
    fields = rows[0].split(' ') if rows else []
    if len(fields) < _FIELD_COUNT:
        raise ValueError('fields are missing')
    received = decode_position(fields[2])
    if received is None:
        raise ValueError('the position is missing')
    # The fourth field is the term for which the member has paused receiving.
    paused_term = int(fields[3]) if fields[3].isdecimal() else 0
    return MemberStatus(
        is_primary=fields[0] == 'primary',
        term=int(fields[1]),
        received=received,
        paused_term=paused_term,
    )
