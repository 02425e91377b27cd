"""Body of the peer operation ``run``."""

from typing import final

import attrs

from mimosapond.floor import Floor
from mimosapond.statement_request import StatementRequest


@final
@attrs.frozen
class PeerRun:
    """A request as the entry host sends it to the host that runs it.

    Attributes
    ----------
    request
        Request of the caller, with ``deadline_ms`` set to the remaining time
        and ``max_age_ms`` filled from the document.
    group, member
        Names of the group and the member that the request is for.
    floor
        Log entry that a read must include; None when the caller has no session.
    connection_limit_count
        Connections that the workspace may use at the member.
    """

    request: StatementRequest
    group: str
    member: str
    floor: Floor | None = None
    connection_limit_count: int = 4
