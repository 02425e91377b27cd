"""Concurrent requests to several members.

Members that are known to be unreachable get only a short time to answer.
Otherwise a lost primary would make each step of a change last until the
request to that primary times out.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from mimosapond.groups.member import Member

# Time that members whose connections failed recently get to answer, counted
# from the last answer of a reachable member.
_UNREACHABLE_TIMEOUT_S: Final = 0.05

_Answer = TypeVar('_Answer')


async def gather_answers(
    members: Iterable[Member],
    request: Callable[[Member], Awaitable[_Answer]],
) -> dict[Member, _Answer]:
    """Send a request to all members and return the answers.

    Parameters
    ----------
    request
        Sends the request to one member; it has its own timeout.

    Returns
    -------
    dict of Member to answer
        Without the unreachable members that did not answer in time.
    """
    tasks = {
        member: asyncio.ensure_future(request(member)) for member in members
    }
    reachable = [
        task for member, task in tasks.items() if not member.load.is_unreachable
    ]
    if reachable:
        await asyncio.wait(reachable)
    if len(reachable) < len(tasks):
        await _await_or_cancel(tasks.values())
    return {
        member: task.result()
        for member, task in tasks.items()
        if not task.cancelled()
    }


async def _await_or_cancel(
    tasks: Iterable[asyncio.Future[_Answer]],
) -> None:
    _, pending = await asyncio.wait(
        tuple(tasks), timeout=_UNREACHABLE_TIMEOUT_S
    )
    for task in pending:
        task.cancel()
    if pending:
        await asyncio.wait(pending)
