"""Check of the secret that operators and other hosts send."""

import hmac
from collections.abc import Mapping
from typing import Final

SECRET_HEADER: Final = 'X-Mimosapond-Secret'


def has_secret(headers: Mapping[str, str], secret: str) -> bool:
    """Tell whether ``headers`` carry ``secret``.

    The time of the comparison does not depend on the offered text, so the
    secret can't be guessed one character after another.
    """
    offered = headers.get(SECRET_HEADER, '').encode()
    expected = secret.encode()
    # An empty secret would let everyone in, so it lets no one in.
    return bool(expected) and hmac.compare_digest(offered, expected)
