"""Session tokens: the log entry that a session's reads must include."""

import re
from typing import Final, Self, final

import attrs

# 18 digits fit in 64 bits. Without a limit, int() would raise an error for
# thousands of digits.
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
        """Return the text form that callers send."""
        return f'{self.group}:{self.term}:{self.position}'

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Parse a token from its text form; None if it is malformed."""
        match = _TOKEN_PATTERN.fullmatch(text)
        if match is None:
            return None
        return cls(match[1], int(match[2]), int(match[3]))
