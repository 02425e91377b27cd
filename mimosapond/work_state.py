"""States of a piece of work in the scheduler."""

import enum
from typing import final


@final
class WorkState(enum.Enum):
    """State of a piece of work.

    ``RUNNING`` work occupies a slot. ``ENDED`` work was finished, refused or
    withdrawn and never gets a slot again.
    """

    WAITING = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()
