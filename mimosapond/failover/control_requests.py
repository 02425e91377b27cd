"""Pauses replicas and learns what their logs hold."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.failover.member_fanout import gather_answers
from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import LinkLost, Rejected, RejectionKind
from mimosapond.groups.member_port import MemberConnection, StatusAnswer
from mimosapond.groups.member_status import MemberStatus

_Call: TypeAlias = Callable[[MemberConnection], Awaitable[StatusAnswer]]

_CONTROL_PRIORITY: Final = -2
CONTROL_TIMEOUT_S: Final = 0.6
_BUSY_RETRY_DELAY_S: Final = 0.02
_BUSY_ATTEMPT_COUNT: Final = 20


@final
@attrs.frozen
class SurveyedMember:
    """A member and what it said of itself."""

    member: Member
    status: MemberStatus


async def send_request(member: Member, call: _Call) -> MemberStatus | None:
    """Make a control request; None if the member did not carry it out."""
    for _ in range(_BUSY_ATTEMPT_COUNT):
        answer = await _request_once(member, call)
        if isinstance(answer, MemberStatus):
            return answer
        if not _is_busy(answer):
            logger.bind(member=member.member_id, answer=str(answer)).warning(
                'member_control_failed'
            )
            return None
        await asyncio.sleep(_BUSY_RETRY_DELAY_S)
    return None


async def status_of(member: Member) -> MemberStatus | None:
    """Return the status of a member; None if it does not answer."""
    return await send_request(
        member, lambda link: link.status(CONTROL_TIMEOUT_S)
    )


async def step_down(member: Member, term: int) -> None:
    """Make a primary of a lower term a replica, if it can be reached."""
    await send_request(
        member, lambda link: link.step_down(term, CONTROL_TIMEOUT_S)
    )


async def pause_all(
    members: Iterable[Member], term: int
) -> dict[str, SurveyedMember]:
    """Stop replicas from receiving; return those that did, by id."""
    return await _request_all(
        members, lambda link: link.pause(term, CONTROL_TIMEOUT_S)
    )


async def resume_all(
    members: Iterable[Member], term: int, has_time: Callable[[], bool]
) -> None:
    """Let replicas receive again, unless a newer claim paused them.

    Parameters
    ----------
    has_time
        Whether a member can still carry out a request while this host holds
        the claim: a later one could end the pause of the next holder.
    """
    await _request_all(members, lambda link: _resume(link, term, has_time))


async def survey_all(members: Iterable[Member]) -> dict[str, SurveyedMember]:
    """Return the status of all members that answer, by id."""
    return await _request_all(
        members, lambda link: link.status(CONTROL_TIMEOUT_S)
    )


async def _request_all(
    members: Iterable[Member], call: _Call
) -> dict[str, SurveyedMember]:
    answers = await gather_answers(
        members, lambda member: send_request(member, call)
    )
    return {
        member.member_id: SurveyedMember(member, status)
        for member, status in answers.items()
        if status is not None
    }


async def _resume(
    link: MemberConnection, term: int, has_time: Callable[[], bool]
) -> StatusAnswer:
    status = await link.status(CONTROL_TIMEOUT_S)
    if not isinstance(status, MemberStatus) or status.paused_term > term:
        return status
    if not has_time():
        return LinkLost('the claim ends', was_sent=False)
    return await link.resume(CONTROL_TIMEOUT_S)


async def _request_once(
    member: Member, call: _Call
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
