"""Control requests to members: status, pause, resume and step down."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.failover.member_fanout import gather_answers
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import LinkLost, Rejected, RejectionKind
from mimosapond.groups.member_port import MemberConnection, StatusAnswer
from mimosapond.groups.member_status import MemberStatus

_ControlCall: TypeAlias = Callable[[MemberConnection], Awaitable[StatusAnswer]]

_CONTROL_PRIORITY: Final = -2
# Time limit for borrowing a connection, and again for each request.
CONTROL_TIMEOUT_S: Final = 0.6
_BUSY_RETRY_DELAY_S: Final = 0.02
_BUSY_ATTEMPT_COUNT: Final = 20


@final
@attrs.frozen
class MemberReport:
    """A member and the status that it reported."""

    member: Member
    status: MemberStatus


async def send_control_request(
    member: Member, call: _ControlCall
) -> MemberStatus | None:
    """Send a control request; repeat it while the member is busy.

    Returns
    -------
    MemberStatus or None
        The status after the request, or None if no connection was free, or
        if the member gave no answer, rejected the request or stayed busy.
    """
    for _ in range(_BUSY_ATTEMPT_COUNT):
        answer = await _send_once(member, call)
        if isinstance(answer, MemberStatus):
            return answer
        if not _is_busy(answer):
            logger.bind(member=member.member_id, answer=str(answer)).warning(
                'member_control_failed'
            )
            return None
        await asyncio.sleep(_BUSY_RETRY_DELAY_S)
    return None


async def fetch_status(member: Member) -> MemberStatus | None:
    """Return the status of a member, or None if it does not answer."""
    return await send_control_request(
        member, lambda connection: connection.status(CONTROL_TIMEOUT_S)
    )


async def step_down(member: Member, term: int) -> None:
    """Demote a primary to a replica; do nothing if it is unreachable.

    Parameters
    ----------
    term
        Fencing token of the claim, higher than the term of the primary.
    """
    await send_control_request(
        member, lambda connection: connection.step_down(term, CONTROL_TIMEOUT_S)
    )


async def pause_all(
    members: Iterable[Member], term: int
) -> dict[str, MemberReport]:
    """Stop replicas from receiving from their primary.

    Parameters
    ----------
    term
        Fencing token of the claim under which the members are paused.

    Returns
    -------
    dict of str to MemberReport
        The members that answered, by member id. A primary answers too, but
        does not pause.
    """
    return await _send_to_all(
        members, lambda connection: connection.pause(term, CONTROL_TIMEOUT_S)
    )


async def resume_all(
    members: Iterable[Member],
    term: int,
    claim_covers_request: Callable[[], bool],
) -> None:
    """Let replicas receive again, unless a newer claim paused them.

    Parameters
    ----------
    term
        Fencing token of the claim; pauses under a higher token stay.
    claim_covers_request
        Returns whether a member can still carry out a request before the
        claim of this host expires. A request that is carried out after that
        could end the pause of the next holder.
    """
    await _send_to_all(
        members,
        lambda connection: _resume(connection, term, claim_covers_request),
    )


async def fetch_all_statuses(
    members: Iterable[Member],
) -> dict[str, MemberReport]:
    """Return the reports of the members that answer, by member id."""
    return await _send_to_all(
        members, lambda connection: connection.status(CONTROL_TIMEOUT_S)
    )


async def _send_to_all(
    members: Iterable[Member], call: _ControlCall
) -> dict[str, MemberReport]:
    answers = await gather_answers(
        members, lambda member: send_control_request(member, call)
    )
    return {
        member.member_id: MemberReport(member, status)
        for member, status in answers.items()
        if status is not None
    }


async def _resume(
    connection: MemberConnection,
    term: int,
    claim_covers_request: Callable[[], bool],
) -> StatusAnswer:
    status = await connection.status(CONTROL_TIMEOUT_S)
    if not isinstance(status, MemberStatus) or status.paused_term > term:
        return status
    if not claim_covers_request():
        return LinkLost('the claim is about to expire', was_sent=False)
    return await connection.resume(CONTROL_TIMEOUT_S)


async def _send_once(
    member: Member, call: _ControlCall
) -> StatusAnswer | NoConnection:
    connection = await member.pool.borrow(_CONTROL_PRIORITY, CONTROL_TIMEOUT_S)
    if isinstance(connection, NoConnection):
        return connection
    try:
        answer = await call(connection.link)
    finally:
        connection.release()
    if isinstance(answer, MemberStatus):
        member.load.record_contact(answer.received)
        member.load.term = max(answer.term, answer.paused_term)
    return answer


def _is_busy(answer: StatusAnswer | NoConnection) -> bool:
    return isinstance(answer, Rejected) and answer.kind is RejectionKind.busy
