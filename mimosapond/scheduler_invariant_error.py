"""Raised when the scheduler's own accounting contradicts its rules."""

from typing import final


@final
class SchedulerInvariantError(RuntimeError):
    """A rule of the scheduler was broken; the message names the figures."""
