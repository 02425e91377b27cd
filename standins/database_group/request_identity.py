"""Whose request it is, as the request id says."""

import re
from typing import Final, final

import attrs

_FORM: Final = re.compile(r'([^.\s]+)\.(t\d+)\.(\d+)')
_NO_TRANSACTION: Final = 't0'


@final
@attrs.frozen
class RequestIdentity:
    """Parts of an id, which reads ``SESSION.tTRANSACTION.NUMBER``.

    Attributes
    ----------
    number
        Counts up within a session; statements of one transaction are equal.
    """

    session: str
    transaction: str
    number: int = attrs.field(eq=False)

    @property
    def is_single(self) -> bool:
        """Whether the statement belongs to no transaction."""
        return self.transaction == _NO_TRANSACTION


def parse_identity(request_id: str) -> RequestIdentity | None:
    """Return the identity; None if the id has another form."""
    found = _FORM.fullmatch(request_id)
    return RequestIdentity(found[1], found[2], int(found[3])) if found else None
