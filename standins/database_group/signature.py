"""Signatures of successful answers, which callers can verify."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Final

_KEY: Final = b'standins.database_group'
_DIGEST_BYTES: Final = 12
_LENGTH_BYTES: Final = 4


def text_to_sign(text: str, prepared_statements: Mapping[str, str]) -> str:
    """Return the text of a statement that its signature covers.

    Parameters
    ----------
    text
        Statement as sent; a ``WAITLSN`` prefix is left out.
    prepared_statements
        ``READ TEXT`` or ``WRITE TEXT`` by prepared name. It replaces the name
        in the signed text, as the caller and the member may use different
        names.
    """
    if text.startswith('WAITLSN '):
        text = text.split(' ', 2)[2]
    word, _, rest = text.partition(' ')
    if word != 'EXECUTE':
        return text
    name, _, arguments = rest.partition(' ')
    return f'{word} {prepared_statements[name]} {arguments}'


def sign(request_id: str, signed: str, rows: Iterable[str]) -> str:
    """Return the signature of a successful answer."""
    digest = hashlib.blake2b(key=_KEY, digest_size=_DIGEST_BYTES)
    for part in (request_id, signed, *rows):
        encoded = part.encode()
        # The length prefixes ensure that different parts give different bytes.
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(encoded)
    return digest.hexdigest()


def is_answer_to(
    request_id: str,
    text: str,
    prepared_statements: Mapping[str, str],
    rows: Iterable[str],
    signature: str,
) -> bool:
    """Return whether an answer belongs to a request and has all its rows."""
    return signature == sign(
        request_id, text_to_sign(text, prepared_statements), rows
    )
