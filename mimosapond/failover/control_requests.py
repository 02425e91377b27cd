"""Control requests to members: status, pause, resume and step down."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.failover.control_log import (
    ControlAnswer,
    log_pause,
    log_resume,
)
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
    """A member and the status that it reported.

    Parameters
    ----------
    is_process_certain
        Whether the process that is registered gave the answer.
    """

    member: Member
    status: MemberStatus
    is_process_certain: bool = True


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
    answer = await _send_until_carried_out(member, call)
    return answer if isinstance(answer, MemberStatus) else None


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
    asked = tuple(members)
    answers = await _send_to_all(
        asked, lambda connection: connection.pause(term, CONTROL_TIMEOUT_S)
    )
    log_pause(term, asked, answers)
    return _reports(answers)


async def resume_all(
    members: Iterable[Member],
    term: int,
    claim_covers_request: Callable[[], bool],
) -> list[Member]:
    """Let replicas receive again, unless a newer claim paused them.

    Parameters
    ----------
    term
        Fencing token of the claim; pauses under a higher token stay.
    claim_covers_request
        Returns whether a member can still carry out a request before the
        claim of this host expires. A request that is carried out after that
        could end the pause of the next holder.

    Returns
    -------
    list of Member
        Members that may carry the request out later, as they did not answer it.
    """
    asked = tuple(members)
    answers = await _send_to_all(
        asked,
        lambda connection: _resume(connection, term, claim_covers_request),
    )
    log_resume(term, asked, answers)
    return [
        member for member in asked if _may_be_carried_out(answers.get(member))
    ]


async def fetch_all_statuses(
    members: Iterable[Member],
) -> dict[str, MemberReport]:
    """Return the reports of the members that answer, by member id."""
    answers = await _send_to_all(
        members, lambda connection: connection.status(CONTROL_TIMEOUT_S)
    )
    return _reports(answers)


async def _send_to_all(
    members: Iterable[Member], call: _ControlCall
) -> dict[Member, ControlAnswer]:
    return await gather_answers(
        members, lambda member: _send_until_carried_out(member, call)
    )


def _reports(
    answers: Mapping[Member, ControlAnswer],
) -> dict[str, MemberReport]:
    return {
        member.member_id: MemberReport(
            member, answer, member.load.identity.is_answer_certain
        )
        for member, answer in answers.items()
        if isinstance(answer, MemberStatus)
    }


async def _resume(
    connection: MemberConnection,
    term: int,
    claim_covers_request: Callable[[], bool],
) -> StatusAnswer:
    status = await connection.status(CONTROL_TIMEOUT_S)
    if isinstance(status, LinkLost):
        return LinkLost(status.reason, was_sent=False)
    if not isinstance(status, MemberStatus) or status.paused_term > term:
        return status
    if not claim_covers_request():
        return LinkLost('the claim is about to expire', was_sent=False)
    return await connection.resume(CONTROL_TIMEOUT_S)


async def _send_until_carried_out(
    member: Member, call: _ControlCall
) -> ControlAnswer:
    """Return the last answer; a member that is busy is asked again."""
    answer = await _send_once(member, call)
    for _ in range(_BUSY_ATTEMPT_COUNT - 1):
        if not _is_busy(answer):
            break
        await asyncio.sleep(_BUSY_RETRY_DELAY_S)
        answer = await _send_once(member, call)
    if not (isinstance(answer, MemberStatus) or _is_busy(answer)):
        logger.bind(member=member.member_id, answer=str(answer)).warning(
            'member_control_failed'
        )
    return answer


async def _send_once(member: Member, call: _ControlCall) -> ControlAnswer:
    connection = await member.pool.borrow(_CONTROL_PRIORITY, CONTROL_TIMEOUT_S)
    if isinstance(connection, NoConnection):
        return connection
    try:
        answer = await connection.observe(call(connection.link))
        is_certain = connection.leads_to_known_process()
    finally:
        connection.release()
    if isinstance(answer, MemberStatus):
        member.load.identity.is_answer_certain = is_certain
        member.load.record_contact(answer.received)
        member.load.term = max(answer.term, answer.paused_term)
    return answer


def _is_busy(answer: ControlAnswer) -> bool:
    return isinstance(answer, Rejected) and answer.kind is RejectionKind.busy


def _may_be_carried_out(answer: ControlAnswer | None) -> bool:
    """Return whether a request without an answer may still have an effect.

    Parameters
    ----------
    answer
        None if the answer was not awaited.
    """
    return answer is None or (isinstance(answer, LinkLost) and answer.was_sent)
