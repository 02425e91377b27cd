"""Parsing of read and write statements."""

from collections.abc import Mapping
from typing import final

import attrs

from standins.database_group.signature import text_to_sign
from standins.database_group.statement_result import MALFORMED, Refusal


@final
@attrs.frozen
class DataRequest:
    """A parsed read or write of one item.

    Attributes
    ----------
    content
        New content of the item; empty for a read.
    signed_text
        Text that the signature of the answer covers.
    """

    is_write: bool
    item: str
    content: str
    signed_text: str


def parse_data(
    text: str, prepared_statements: Mapping[str, str]
) -> DataRequest | Refusal:
    """Parse a ``READ``, ``WRITE`` or ``EXECUTE`` statement.

    Parameters
    ----------
    prepared_statements
        ``READ TEXT`` or ``WRITE TEXT`` by prepared name.

    Returns
    -------
    DataRequest | Refusal
        The refusal to send if the name is not prepared or the arguments do
        not fit the statement.
    """
    word, _, arguments = text.partition(' ')
    signed_text = text
    if word == 'EXECUTE':
        name, _, arguments = arguments.partition(' ')
        if name not in prepared_statements:
            return Refusal('NOSUCHSTMT', f'no prepared name {name}')
        word = prepared_statements[name].partition(' ')[0]
        signed_text = text_to_sign(text, prepared_statements)
    is_write = word == 'WRITE'
    item, _, content = arguments.partition(' ')
    # A read takes only an item, and a write also needs the new content.
    if not item or is_write != bool(content):
        return MALFORMED
    return DataRequest(is_write, item, content, signed_text)
