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
        Names that select the service document and, in it, the database group.
    request_id
        Id that all attempts of the request share.
    mode
        Whether the statements may change data.
    statements
        Statements to run in order in one transaction; they may be empty to
        begin an interactive transaction.
    work_class
        Priority in the queue of the member.
    deadline_ms
        Time until the deadline when the request is received; None selects the
        default of the work class.
    repeatable
        Whether the request may run twice without harm.
    session_id
        Session for read-your-writes, for callers that send no token.
    token
        Session token of an earlier answer.
    max_age_ms
        Maximum age of the data that a read may return; None selects the default
        of the work class.
    durability
        Durability of a write; None selects ``primary`` for repeatable requests
        and ``replicated`` for all others.
    may_have_run
        Whether an earlier attempt with this id ended as unknown or without an
        answer. The refusal of a later attempt does not prove that the request
        did not run, so it is answered as unknown.
    is_long
        Whether the statements run long; None lets the owner estimate it from
        earlier runs.
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
        """Durability that a write must reach before it is acknowledged."""
        if self.durability is not None:
            return self.durability
        return Durability.PRIMARY if self.repeatable else Durability.REPLICATED
