"""Session tokens: the log entry that a session's reads must include."""

import re
from typing import Final, Self, final

import attrs

# Terms and positions fit 64 bits; int() refuses thousands of digits.
_TOKEN_PATTERN: Final = re.compile(
    '([A-Za-z0-9_.-]+):([0-9]{1,18}):([0-9]{1,18})'
)


@final
@attrs.frozen
class Token:
    """Group, term and log position of a session's last write."""

    group: str
    term: int
    position: int

    def __str__(self) -> str:
        """Return the text that callers carry."""
        return f'{self.group}:{self.term}:{self.position}'

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Read a token from its text; None when it is malformed."""
        match = _TOKEN_PATTERN.fullmatch(text)
        if match is None:
            return None
        return cls(match[1], int(match[2]), int(match[3]))
