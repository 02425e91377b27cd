"""Body of the peer operation ``run``."""

from typing import final

import attrs

from mimosapond.floor import Floor
from mimosapond.statement_request import StatementRequest


@final
@attrs.frozen
class PeerRun:
    """A request with what the entry host decided about it.

    Attributes
    ----------
    request
        As the caller sent it, with ``deadline_ms`` set to the time left and
        ``max_age_ms`` filled from the document.
    group, member
        Where the entry host sends the request.
    floor
        Entry that a read must include; None when the caller has no session.
    connection_limit_count
        Connections the workspace may hold at the member.
    """

    request: StatementRequest
    group: str
    member: str
    floor: Floor | None = None
    connection_limit_count: int = 4
