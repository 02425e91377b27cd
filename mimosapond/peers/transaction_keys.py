"""Keys under which other hosts keep this host's transactions."""

import itertools
import secrets
import time
from typing import Final, final

_TOKEN_BYTES: Final = 8


@final
class TransactionKeys:
    """Makes keys that no other host and no earlier life of this one makes.

    Memory addresses and counters are equal in processes that run the same
    program. The host's name tells hosts apart, start time and token its lives.
    """

    def __init__(self, host: str) -> None:
        """Take the name of this host."""
        token = secrets.token_hex(_TOKEN_BYTES)
        self._prefix = f'{host}/{time.time_ns():x}-{token}'
        self._numbers = itertools.count(1)

    def make(self) -> str:
        """Return a new key."""
        return f'{self._prefix}/{next(self._numbers)}'
