"""Decodes whole numbers in the platform's protocols."""

from typing import Final

# Longer numbers exceed 64 bits; terms, positions and ports are shorter.
_MAX_DIGIT_COUNT: Final = 18


def decode_decimal(text: str) -> int | None:
    """Return a whole number of ASCII digits; None if ``text`` is not one."""
    if len(text) > _MAX_DIGIT_COUNT:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
