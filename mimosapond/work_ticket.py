"""What the owner's queue needs to know of one piece of work."""

from typing import final

import attrs

from mimosapond.work_class import WorkClass


@final
@attrs.frozen
class WorkTicket:
    """Order, limits and cost class of one request.

    Attributes
    ----------
    deadline_s
        Value of ``Clock.monotonic_s()`` after which waiting is useless.
    fingerprint
        SQL text, the key under which the cost is learned.
    connection_limit_count
        Connections the workspace may hold at the member.
    is_long
        Declared length; None lets the owner learn it.
    """

    request_id: str
    work_class: WorkClass
    workspace: str
    deadline_s: float
    fingerprint: str
    connection_limit_count: int
    is_long: bool | None
