"""Keys that identify relayed transactions at other hosts."""

import itertools
import secrets
import time
from typing import Final, final

_TOKEN_BYTES: Final = 8


@final
class TransactionKeys:
    """Generates keys that are unique across hosts and restarts.

    Memory addresses and counters repeat in processes that run the same
    program. A key therefore has the host name, which differs between hosts,
    and a start time and random token, which differ between restarts.
    """

    def __init__(self, host: str) -> None:
        """Create a generator for the host of this name."""
        token = secrets.token_hex(_TOKEN_BYTES)
        self._prefix = f'{host}/{time.time_ns():x}-{token}'
        self._numbers = itertools.count(1)

    def make(self) -> str:
        """Return a new key."""
        return f'{self._prefix}/{next(self._numbers)}'
