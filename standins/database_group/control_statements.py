"""Statements that read or change the role of a member."""

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
        case 'RESUME':
            member.paused_term = 0
        case 'STEPDOWN' if is_newer and member.is_primary:
            member.is_primary = False
    member.notify()
    return Done((member.status,))
