"""A validated request for one statement or one whole transaction."""

from typing import final

import attrs

from mimosapond.access_mode import AccessMode
from mimosapond.durability import Durability
from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass


@final
@attrs.frozen
class StatementRequest:
    """Fields of ``POST /v1/statements``.

    Attributes
    ----------
    service, workspace
        Select the document and, in it, the database group.
    request_id
        Identifies the request over all its tries.
    mode
        Whether the statements may change data.
    statements
        Run in order in one transaction; empty to begin an interactive one.
    work_class
        Order of service.
    deadline_ms
        Time left when the request was received; None for the class default.
    repeatable
        Whether running twice does no harm.
    session_id
        Read-your-writes scope for callers that carry no token.
    token
        Text of the session token of an earlier answer.
    max_age_ms
        Oldest data a read may return; None for the class default.
    durability
        None selects ``replicated``, or ``primary`` when repeatable.
    may_have_run
        An earlier try of this id ended as unknown or without an answer. A
        refusal of this try then proves nothing, so it is answered as unknown.
    is_long
        Declares a long statement; None lets the owner learn it.
    """

    service: str
    workspace: str
    request_id: str
    mode: AccessMode
    statements: tuple[Statement, ...] = ()
    work_class: WorkClass = WorkClass.INTERACTIVE
    deadline_ms: int | None = None
    repeatable: bool = False
    session_id: str | None = None
    token: str | None = None
    max_age_ms: int | None = None
    durability: Durability | None = None
    may_have_run: bool = False
    is_long: bool | None = None

    @property
    def required_durability(self) -> Durability:
        """Durability to reach before the write is acknowledged."""
        if self.durability is not None:
            return self.durability
        return Durability.PRIMARY if self.repeatable else Durability.REPLICATED
