"""Signatures of members' successes, which callers can check as well."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Final

_KEY: Final = b'standins.database_group'
_DIGEST_BYTES: Final = 12
_LENGTH_BYTES: Final = 4


def covered_text(text: str, shapes: Mapping[str, str]) -> str:
    """Return the text that a signature covers.

    Parameters
    ----------
    text
        Statement as sent; a ``WAITLSN`` prefix is left out.
    shapes
        ``READ SHAPE`` or ``WRITE SHAPE`` by prepared name; it stands in place
        of the name, which may be another one at the member.
    """
    if text.startswith('WAITLSN '):
        text = text.split(' ', 2)[2]
    word, _, rest = text.partition(' ')
    if word != 'EXECUTE':
        return text
    name, _, arguments = rest.partition(' ')
    return f'{word} {shapes[name]} {arguments}'


def sign(request_id: str, covered: str, rows: Iterable[str]) -> str:
    """Return the signature of a success."""
    digest = hashlib.blake2b(key=_KEY, digest_size=_DIGEST_BYTES)
    for part in (request_id, covered, *rows):
        encoded = part.encode()
        # With the lengths, no two lists of parts give the same bytes.
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(encoded)
    return digest.hexdigest()


def is_answer_to(
    request_id: str,
    text: str,
    shapes: Mapping[str, str],
    rows: Iterable[str],
    signature: str,
) -> bool:
    """Return whether a success belongs to a request and has all its rows."""
    return signature == sign(request_id, covered_text(text, shapes), rows)
