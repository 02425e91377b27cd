"""Digests that stand for the keys of callers."""

import hashlib
from typing import Final

_DIGEST_BYTES: Final = 16


def digest_key(key: str) -> str:
    """Return the BLAKE2b digest of a key in hexadecimal digits.

    Only the digest is kept and sent to other hosts, so that a key appears in no
    log, state or message of the product.

    Returns
    -------
    str
        32 digits, or the empty string for the empty key, which no workspace
        has.
    """
    if not key:
        return ''
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()
