"""Whether work is expected to occupy a slot for long."""

import enum
from typing import final


@final
class WorkPace(enum.Enum):
    """Long work must leave slots to short work.

    ``LONG`` work never takes the last free slot. ``AGED_LONG`` work has waited
    for an aging step. It may take the last free slot while another slot is
    without long work: under steady short work two slots are rarely free at
    once, and it would never start.
    """

    SHORT = enum.auto()
    LONG = enum.auto()
    AGED_LONG = enum.auto()
