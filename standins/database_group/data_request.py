"""Reads and writes, decoded."""

from collections.abc import Mapping
from typing import final

import attrs

from standins.database_group.signature import covered_text
from standins.database_group.statement_result import MALFORMED, Refusal


@final
@attrs.frozen
class DataRequest:
    """A read or a write.

    Attributes
    ----------
    covered
        Text that the signature covers.
    """

    is_write: bool
    item: str
    content: str
    covered: str


def parse_data(text: str, shapes: Mapping[str, str]) -> DataRequest | Refusal:
    """Return what ``READ``, ``WRITE`` or ``EXECUTE`` asks for."""
    word, _, arguments = text.partition(' ')
    covered = text
    if word == 'EXECUTE':
        name, _, arguments = arguments.partition(' ')
        if name not in shapes:
            return Refusal('NOSUCHSTMT', f'no prepared name {name}')
        word = shapes[name].partition(' ')[0]
        covered = covered_text(text, shapes)
    is_write = word == 'WRITE'
    item, _, content = arguments.partition(' ')
    # A read takes an item only, and a write needs something to write.
    if not item or is_write != bool(content):
        return MALFORMED
    return DataRequest(is_write, item, content, covered)
