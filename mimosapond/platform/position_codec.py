"""Encodes and decodes log positions in the platform's wire protocol."""

from mimosapond.groups.log_position import LogPosition


def decode_position(text: str) -> LogPosition | None:
    """Return the position; None if ``text`` is a dash or not a position."""
    term, dot, number = text.partition('.')
    if not dot or not term.isdecimal() or not number.isdecimal():
        return None
    return LogPosition(int(term), int(number))


def encode_position(position: LogPosition) -> str:
    """Return a position as ``term.number``."""
    return f'{position.term}.{position.number}'
