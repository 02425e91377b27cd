"""Names of interactive transactions, which identify their holder."""

from typing import Final, Self, final

import attrs

_SEPARATOR: Final = '/'
_PART_COUNT: Final = 3


@final
@attrs.frozen
class TransactionName:
    """Name that a caller sends with each call of a transaction.

    Attributes
    ----------
    group
        Name of the database group.
    host_id
        Term holder that keeps the target connection.
    local_id
        Identifies the transaction at that host.
    """

    group: str
    host_id: str
    local_id: str

    def __str__(self) -> str:
        """Return the text form that callers send."""
        return _SEPARATOR.join((self.group, self.host_id, self.local_id))

    @property
    def holder_id(self) -> str:
        """The transaction id that the holder assigned."""
        return _SEPARATOR.join((self.host_id, self.local_id))

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Parse a name from its text form; None if it is malformed."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PART_COUNT or not all(parts):
            return None
        return cls(*parts)
