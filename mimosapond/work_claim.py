"""Which connection a piece of work needs besides a slot."""

import enum
from typing import final


@final
class WorkClaim(enum.Enum):
    """Claim of a piece of work on a connection.

    ``SINGLE`` work needs a connection for one statement or one whole
    transaction. ``KEEPING`` work needs a connection that it keeps while it is
    parked. ``RESUMED`` work was parked, still holds its connection and needs
    only a slot.
    """

    SINGLE = enum.auto()
    KEEPING = enum.auto()
    RESUMED = enum.auto()
