"""One request to several members at the same time.

A member that is known to be unreachable is not waited for: with a lost
primary, each step of a change would otherwise take as long as its time-out.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from mimosapond.groups.member import Member

# Until a member whose connections failed just now has to have answered.
_UNREACHABLE_TIMEOUT_S: Final = 0.05

_Answer = TypeVar('_Answer')


async def gather_answers(
    members: Iterable[Member],
    request: Callable[[Member], Awaitable[_Answer]],
) -> dict[Member, _Answer]:
    """Return the answers; unreachable members that are late have none.

    Parameters
    ----------
    request
        Asks one member and ends by itself.
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
    _, late = await asyncio.wait(tuple(tasks), timeout=_UNREACHABLE_TIMEOUT_S)
    for task in late:
        task.cancel()
    if late:
        await asyncio.wait(late)
