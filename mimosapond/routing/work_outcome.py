"""What became of work that a member or another host was given."""

from typing import TypeAlias, final

import attrs

from mimosapond.groups.log_position import LogPosition
from mimosapond.statements.reply import Reply


@final
@attrs.frozen
class WorkDone:
    """The reply, and the log position after a write that is kept."""

    reply: Reply
    position: LogPosition | None = None


@final
@attrs.frozen
class WorkUnanswered:
    """There is no reply.

    Parameters
    ----------
    was_sent
        Whether the work may have run.
    """

    reason: str
    was_sent: bool


WorkOutcome: TypeAlias = WorkDone | WorkUnanswered
