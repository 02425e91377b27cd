"""Decodes the status that a member reports about itself."""

from typing import Final

from mimosapond.groups.member_status import MemberStatus
from mimosapond.platform.decimal_codec import decode_decimal
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
    term, received = decode_decimal(fields[1]), decode_position(fields[2])
    if term is None or received is None:
        raise ValueError('the term or the position is missing')
    return MemberStatus(
        is_primary=fields[0] == 'primary',
        term=term,
        received=received,
        # The fourth field is the term for which the member has paused
        # receiving.
        paused_term=decode_decimal(fields[3]) or 0,
    )
