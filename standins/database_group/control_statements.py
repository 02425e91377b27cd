"""Statements that read or change the role of a member."""

import asyncio

from standins.database_group.group_member import GroupMember
from standins.database_group.statement_result import (
    MALFORMED,
    Done,
    Refusal,
    Result,
)


async def run_control(member: GroupMember, word: str, rest: str) -> Result:
    """Run ``STATUS``, ``PAUSE``, ``RESUME`` or ``STEPDOWN``.

    ``PAUSE`` and ``STEPDOWN`` take a term and have no effect unless it is
    higher than the term of the member. Each statement returns the status row.

    Beside the fault ``late_resume``, ``RESUME`` is carried out and answered after
    as many seconds as its ratio, also if its caller is gone by then.
    """
    takes_term = word in {'PAUSE', 'STEPDOWN'}
    if takes_term != rest.isdecimal() or (rest and not takes_term):
        return MALFORMED
    if member.slots.is_queue_full:
        return Refusal('RETRY', 'the queue is full')
    await member.slots.occupy(member.draw_duration_s(member.settings.read_ms))
    term = int(rest or 0)
    is_newer = term > member.log.term
    match word:
        case 'PAUSE' if is_newer and not member.is_primary:
            member.paused_term = term
        case 'RESUME' if member.faults.has('late_resume'):
            await _resume_late(member, member.faults.ratio('late_resume'))
        case 'RESUME':
            member.paused_term = 0
        case 'STEPDOWN' if is_newer and member.is_primary:
            member.is_primary = False
    member.notify()
    return Done((member.status,))


async def _resume_late(member: GroupMember, delay_s: float) -> None:
    """End the pause of a member later, unless it has started again."""
    asyncio.get_running_loop().call_later(
        delay_s, _end_pause, member, member.started_ms
    )
    await asyncio.sleep(delay_s)


def _end_pause(member: GroupMember, started_ms: int) -> None:
    if member.is_running and member.started_ms == started_ms:
        member.paused_term = 0
        member.notify()
