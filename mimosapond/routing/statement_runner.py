"""Runs statements on a connection after it has the session's state."""

from collections.abc import Mapping
from typing import final

from loguru import logger

from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    outcome_label,
)
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.statements.statement import Shape
from mimosapond.routing.work import PreparedCall, Work


@final
class RestoreFailed(Exception):  # noqa: N818 -- not an error of the caller
    """The session's state could not be set up on the connection."""

    def __init__(self, answer: Rejected | LinkLost) -> None:
        """Store the answer of the member that caused the failure."""
        super().__init__(answer)
        self.answer = answer


async def restore_values(
    connection: ConnectionLease,
    wanted: Mapping[str, str],
    limit_s: float,
) -> None:
    """Set up exactly the session's values on the connection.

    Parameters
    ----------
    limit_s
        Timeout for each request that this takes.

    Raises
    ------
    RestoreFailed
        The values could not be set. The connection is closed, because it is
        unknown which values it has.
    """
    if connection.session_values == wanted:
        return
    if not connection.session_values.keys() <= wanted.keys():
        answer = await connection.ask(connection.link.discard(limit_s))
        _require_completed(connection, answer)
        connection.session_values.clear()
        connection.prepared_names.clear()
    for name, value in wanted.items():
        if connection.session_values.get(name) != value:
            answer = await connection.ask(
                connection.link.set_value(name, value, limit_s),
            )
            _require_completed(connection, answer)
            connection.session_values[name] = value


async def run_work(
    connection: ConnectionLease,
    work: Work,
    wait_for: LogPosition | None,
    limit_s: float,
) -> MemberAnswer:
    """Run a statement, after the session's values are set up.

    Parameters
    ----------
    wait_for
        Log position that the member must apply before it runs the statement.
    limit_s
        Timeout for each request that this takes.

    Raises
    ------
    RestoreFailed
        The statement was not sent. The connection is closed.
    """
    _require_own(connection, work)
    await restore_values(connection, work.values, limit_s)
    statement = work.statement
    if isinstance(statement, PreparedCall):
        name = await _prepared_name(connection, statement.shape, limit_s)
        call = connection.link.run_prepared(
            work.request_id, name, statement.arguments, wait_for, limit_s
        )
    else:
        call = connection.link.run(
            work.request_id, statement, wait_for, limit_s
        )
    answer = await connection.ask(call, is_write=statement.is_write)
    log_answer(connection, work.request_id, answer)
    return answer


def log_answer(
    connection: ConnectionLease, request_id: str, answer: MemberAnswer
) -> None:
    """Log the connection that a caller's request used and its outcome.

    A wrong answer can thereby be traced to earlier requests on the same
    connection.
    """
    logger.bind(
        request=request_id,
        connection=connection.link.name,
        outcome=outcome_label(answer),
    ).info('member_answered')


async def _prepared_name(
    connection: ConnectionLease, shape: Shape, limit_s: float
) -> str:
    if shape not in connection.prepared_names:
        name = f'm{len(connection.prepared_names)}'
        answer = await connection.ask(
            connection.link.prepare(name, shape, limit_s),
        )
        _require_completed(connection, answer)
        connection.prepared_names[shape] = name
    return connection.prepared_names[shape]


def _require_own(connection: ConnectionLease, work: Work) -> None:
    """Refuse a statement on a connection of another workspace.

    A transaction keeps its connection, while each of its statements names a
    workspace, so this is checked again at each statement.
    """
    if connection.workspace == work.workspace:
        return
    logger.bind(
        request=work.request_id,
        connection=connection.link.name,
        workspace=work.workspace,
        opened_for=connection.workspace,
    ).error('connection_of_other_workspace')
    connection.link.close()
    raise RestoreFailed(
        LinkLost('a connection of another workspace', was_sent=False)
    )


def _require_completed(
    connection: ConnectionLease, answer: MemberAnswer
) -> None:
    if not isinstance(answer, Completed):
        connection.link.close()
        raise RestoreFailed(answer)
