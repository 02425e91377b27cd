"""Outcomes of work that was sent to a member or to another host."""

from typing import TypeAlias, final

import attrs

from mimosapond.groups.log_position import LogPosition
from mimosapond.statements.reply import Reply


@final
@attrs.frozen
class WorkDone:
    """A reply to the work.

    Parameters
    ----------
    position
        Log position after a commit; None if nothing was committed.
    """

    reply: Reply
    position: LogPosition | None = None


@final
@attrs.frozen
class WorkUnanswered:
    """No reply to the work arrived.

    Parameters
    ----------
    was_sent
        Whether the work was sent, so that it may have run.
    """

    reason: str
    was_sent: bool


WorkOutcome: TypeAlias = WorkDone | WorkUnanswered
