"""Encodes and decodes log positions in the platform's wire protocol."""

from mimosapond.groups.log_position import LogPosition
from mimosapond.platform.decimal_codec import decode_decimal


def decode_position(text: str) -> LogPosition | None:
    """Return the position; None if ``text`` is a dash or not a position."""
    term_text, _, number_text = text.partition('.')
    term, number = decode_decimal(term_text), decode_decimal(number_text)
    if term is None or number is None:
        return None
    return LogPosition(term, number)


def encode_position(position: LogPosition) -> str:
    """Return a position as ``term.number``."""
    return f'{position.term}.{position.number}'
