"""Text form of log positions on the wire."""

from mimosapond.groups.log_position import LogPosition


def decode_position(text: str) -> LogPosition | None:
    """Return the position; None for the dash that stands for no position."""
    term, dot, number = text.partition('.')
    if not dot or not term.isdecimal() or not number.isdecimal():
        return None
    return LogPosition(int(term), int(number))


def encode_position(position: LogPosition) -> str:
    """Return the text of a position."""
    return f'{position.term}.{position.number}'
