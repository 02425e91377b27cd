"""Names of interactive transactions, which say where they run."""

from typing import Final, Self, final

import attrs

_SEPARATOR: Final = '/'
_PART_COUNT: Final = 3


@final
@attrs.frozen
class TransactionName:
    """What a caller carries between the calls of one transaction.

    Attributes
    ----------
    group
        Database group.
    host_id
        Term holder that keeps the target connection.
    local_id
        Identifies the transaction at that host.
    """

    group: str
    host_id: str
    local_id: str

    def __str__(self) -> str:
        """Return the text that callers carry."""
        return _SEPARATOR.join((self.group, self.host_id, self.local_id))

    @property
    def holder_id(self) -> str:
        """The identifier that the holder gave."""
        return _SEPARATOR.join((self.host_id, self.local_id))

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Read a name from its text; None when it is malformed."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PART_COUNT or not all(parts):
            return None
        return cls(*parts)
