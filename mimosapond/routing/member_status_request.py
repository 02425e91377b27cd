"""Requests of a member's status beside the statements of callers."""

from typing import Final

from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.member import Member
from mimosapond.groups.member_status import MemberStatus

# Ahead of every statement in the queue for a connection.
_STATUS_PRIORITY: Final = -1


async def fetch_member_status(
    member: Member, limit_s: float
) -> MemberStatus | None:
    """Return the status of a member; None without an answer in time.

    Parameters
    ----------
    limit_s
        Limit for a connection to become free, and again for the answer.
    """
    connection = await member.pool.borrow(_STATUS_PRIORITY, limit_s)
    if isinstance(connection, NoConnection):
        return None
    try:
        answer = await connection.link.status(limit_s)
    finally:
        connection.release()
    if not isinstance(answer, MemberStatus):
        return None
    member.load.record_contact(answer.received)
    return answer
