"""Builds the tickets under which a holder's work queues for slots."""

from collections.abc import Iterable
from typing import Final

from mimosapond.peer_run import PeerRun
from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass
from mimosapond.work_ticket import WorkTicket

OWN_WORKSPACE: Final = 'mimosapond'
_OWN_CONNECTION_COUNT: Final = 2


def fingerprint(statements: Iterable[Statement]) -> str:
    """Return the SQL text under which the cost is learned."""
    return ';'.join(statement.sql for statement in statements)


def run_ticket(
    run: PeerRun,
    statements: Iterable[Statement],
    deadline_s: float,
) -> WorkTicket:
    """Build the ticket of a caller's statements."""
    return WorkTicket(
        request_id=run.request.request_id,
        work_class=run.request.work_class,
        workspace=run.request.workspace,
        deadline_s=deadline_s,
        fingerprint=fingerprint(statements),
        connection_limit_count=run.connection_limit_count,
        is_long=run.request.is_long,
    )


def own_ticket(
    request_id: str,
    work_class: WorkClass,
    deadline_s: float,
) -> WorkTicket:
    """Build the ticket of work on the request ledger."""
    return WorkTicket(
        request_id=request_id,
        work_class=work_class,
        workspace=OWN_WORKSPACE,
        deadline_s=deadline_s,
        fingerprint=OWN_WORKSPACE,
        connection_limit_count=_OWN_CONNECTION_COUNT,
        is_long=False,
    )
