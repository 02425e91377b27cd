"""Request ids contain their creation time, so that records of them can expire.

Since the time is a part of the id, a caller cannot repeat a request under the
same id with a later time.
"""

import re
import secrets
from typing import Final, Self, final

import attrs

RETENTION_MS: Final = 24 * 60 * 60 * 1000
MAX_AHEAD_MS: Final = 5 * 60 * 1000
_ID_PATTERN: Final = re.compile('([0-9]{1,15})[.]([A-Za-z0-9_-]{16,64})')
_NONCE_BYTES: Final = 16


@final
@attrs.frozen
class RequestId:
    """Creation time and random part of a request id."""

    created_unix_ms: int
    nonce: str

    def __str__(self) -> str:
        """Return the form that is sent and stored."""
        return f'{self.created_unix_ms}.{self.nonce}'

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Parse a request id; return None when ``text`` is malformed."""
        match = _ID_PATTERN.fullmatch(text)
        if match is None:
            return None
        return cls(int(match[1]), match[2])

    @classmethod
    def create(cls, now_unix_ms: int) -> Self:
        """Return a new id with a random nonce."""
        return cls(now_unix_ms, secrets.token_urlsafe(_NONCE_BYTES))

    def is_expired(self, now_unix_ms: int) -> bool:
        """Tell whether the record of this id may already be deleted."""
        return now_unix_ms - self.created_unix_ms > RETENTION_MS

    def is_in_future(self, now_unix_ms: int) -> bool:
        """Tell whether the creation time is too far in the future."""
        return self.created_unix_ms - now_unix_ms > MAX_AHEAD_MS
