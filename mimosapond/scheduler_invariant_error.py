"""Error for an inconsistency in the scheduler's own accounting."""

from typing import final


@final
class SchedulerInvariantError(RuntimeError):
    """An invariant of the scheduler is violated; the message names it."""
