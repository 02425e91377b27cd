"""What a piece of work needs besides a slot."""

import enum
from typing import final


@final
class WorkClaim(enum.Enum):
    """Work that holds its connection already claims a slot only.

    ``SINGLE`` takes a connection for one statement or one whole transaction,
    ``KEEPING`` takes one that is kept while parked, ``RESUMED`` is parked work
    that needs a slot again.
    """

    SINGLE = enum.auto()
    KEEPING = enum.auto()
    RESUMED = enum.auto()
