"""Whether work is expected to occupy a slot for long."""

import enum
from typing import final


@final
class WorkPace(enum.Enum):
    """Long work must leave slots to short work.

    One slot always stays without ``LONG`` work, where there are two or more,
    so the wait of short work is bounded by other short work. Requiring two free
    slots instead kept slots idle and let long work start only after aging.
    """

    SHORT = enum.auto()
    LONG = enum.auto()
