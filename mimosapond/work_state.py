"""Life cycle of a piece of work at the scheduler."""

import enum
from typing import final


@final
class WorkState(enum.Enum):
    """``RUNNING`` work occupies a slot; ``ENDED`` work never does again."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()
