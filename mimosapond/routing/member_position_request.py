"""Requests of a member's position beside the statements of callers."""

import contextlib
from collections.abc import AsyncIterator
from typing import Final, final

import attrs

from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import Completed, LinkLost
from mimosapond.groups.member_status import MemberStatus
from mimosapond.groups.no_connection import NoConnection
from mimosapond.statements.statement import Begin

# Ahead of every statement in the queue for a connection.
_STATUS_PRIORITY: Final = -1


async def fetch_member_status(
    member: Member, limit_s: float
) -> MemberStatus | None:
    """Return the status of a member; None without an answer in time.

    The request takes one of the member's slots.

    Parameters
    ----------
    limit_s
        Limit for a connection to become free, and again for the answer.
    """
    async with _borrowed(member, limit_s) as connection:
        if connection is None:
            return None
        answer = await connection.observe(connection.link.status(limit_s))
    if not isinstance(answer, MemberStatus):
        return None
    member.load.record_contact(answer.received)
    return answer


@final
@attrs.frozen
class ReportedPosition:
    """A position that a member reported.

    Parameters
    ----------
    is_process_certain
        Whether the registered process reported it, and not a later one.
    """

    position: LogPosition
    is_process_certain: bool


async def fetch_received(
    member: Member, limit_s: float
) -> ReportedPosition | None:
    """Return the position that a member has received, applied or not.

    Parameters
    ----------
    limit_s
        As for ``fetch_member_status``.
    """
    async with _borrowed(member, limit_s) as connection:
        if connection is None:
            return None
        answer = await connection.observe(connection.link.status(limit_s))
        is_certain = connection.leads_to_known_process()
    if not isinstance(answer, MemberStatus):
        return None
    member.load.record_contact(answer.received)
    return ReportedPosition(answer.received, is_certain)


async def fetch_applied(
    member: Member, position: LogPosition, limit_s: float
) -> ReportedPosition | None:
    """Return the position that a member has applied; None without an answer.

    An empty read-only transaction asks for it, which takes no slot.

    Parameters
    ----------
    position
        The position in question; the transaction begins only from there on.
    limit_s
        Limit for a connection to become free, and again for each answer.
    """
    async with _borrowed(member, limit_s) as connection:
        if connection is None:
            return None
        applied = await _begin_from(connection, position, limit_s)
        is_certain = connection.leads_to_known_process()
    if applied is None:
        return None
    member.load.record_contact(applied)
    return ReportedPosition(applied, is_certain)


@contextlib.asynccontextmanager
async def _borrowed(
    member: Member, limit_s: float
) -> AsyncIterator[ConnectionLease | None]:
    """Lend a connection to a member; None if none becomes free in time."""
    connection = await member.pool.borrow(_STATUS_PRIORITY, limit_s)
    if isinstance(connection, NoConnection):
        yield None
        return
    try:
        yield connection
    finally:
        connection.release()


async def _begin_from(
    connection: ConnectionLease, position: LogPosition, limit_s: float
) -> LogPosition | None:
    begin = connection.link.begin(Begin(is_read_only=True), position, limit_s)
    answer = await connection.observe(begin)
    if isinstance(answer, LinkLost):
        return None
    if isinstance(answer, Completed):
        await connection.link.rollback(limit_s)
    return answer.position
