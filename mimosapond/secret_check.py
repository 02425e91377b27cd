"""Check of the secret in requests of operators and other hosts."""

import hmac
from collections.abc import Mapping
from typing import Final

SECRET_HEADER: Final = 'X-Mimosapond-Secret'


def has_secret(headers: Mapping[str, str], secret: str) -> bool:
    """Tell whether ``headers`` contain ``secret``.

    The comparison takes constant time, so its duration does not reveal how
    many leading characters of a guessed secret are right.
    """
    offered = headers.get(SECRET_HEADER, '').encode()
    expected = secret.encode()
    # An empty secret would match requests without the header, so it matches
    # no request.
    return bool(expected) and hmac.compare_digest(offered, expected)
