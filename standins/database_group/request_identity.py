"""Session and transaction of a request, parsed from its id."""

import re
from typing import Final, final

import attrs

_ID_FORMAT: Final = re.compile(r'([^.\s]+)\.(t\d+)\.(\d+)')
_NO_TRANSACTION: Final = 't0'


@final
@attrs.frozen
class RequestIdentity:
    """Parts of a request id of the form ``SESSION.tTRANSACTION.NUMBER``.

    Attributes
    ----------
    number
        Increases within a session. It is not compared, so the identities of
        all statements of one transaction are equal.
    """

    session: str
    transaction: str
    number: int = attrs.field(eq=False)

    @property
    def is_outside_transaction(self) -> bool:
        """Whether the statement runs outside of any transaction."""
        return self.transaction == _NO_TRANSACTION


def parse_identity(request_id: str) -> RequestIdentity | None:
    """Return the identity; None if the id has another format."""
    found = _ID_FORMAT.fullmatch(request_id)
    return RequestIdentity(found[1], found[2], int(found[3])) if found else None
