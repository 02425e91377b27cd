"""Builds the tickets with which a holder's work waits for slots."""

from collections.abc import Iterable
from typing import Final

from mimosapond.group_view import GroupView
from mimosapond.peer_run import PeerRun
from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass
from mimosapond.work_ticket import WorkTicket, build_fingerprint

INTERNAL_WORKSPACE: Final = 'mimosapond'
_INTERNAL_CONNECTION_COUNT: Final = 2


def request_ticket(
    view: GroupView,
    run: PeerRun,
    statements: Iterable[Statement],
    deadline_s: float,
    *,
    keeps_connection: bool = False,
) -> WorkTicket:
    """Build the ticket for a caller's statements.

    Parameters
    ----------
    view
        The held term.
    run, statements
        The request and the statements that run next.
    deadline_s
        Monotonic time (``Clock.monotonic_s``) at which waiting ends.
    keeps_connection
        Whether the grant is parked between statements.
    """
    return WorkTicket(
        request_id=run.request.request_id,
        work_class=run.request.work_class,
        workspace=run.request.workspace,
        deadline_s=deadline_s,
        fingerprint=build_fingerprint(statements),
        connection_limit_count=run.connection_limit_count,
        is_long=run.request.is_long,
        keeps_connection=keeps_connection,
        group=view.group,
        term=view.term,
    )


def internal_ticket(
    view: GroupView,
    request_id: str,
    work_class: WorkClass,
    deadline_s: float,
) -> WorkTicket:
    """Build the ticket for work on the request ledger."""
    return WorkTicket(
        request_id=request_id,
        work_class=work_class,
        workspace=INTERNAL_WORKSPACE,
        deadline_s=deadline_s,
        fingerprint=INTERNAL_WORKSPACE,
        connection_limit_count=_INTERNAL_CONNECTION_COUNT,
        is_long=False,
        group=view.group,
        term=view.term,
    )
