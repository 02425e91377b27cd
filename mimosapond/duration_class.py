"""Whether work is expected to occupy a slot for a long time."""

import enum
from typing import final


@final
class DurationClass(enum.Enum):
    """Class of work by its expected duration.

    If a member has two or more slots, one of them is reserved for ``SHORT``
    work. Short work then waits for other short work only. An earlier rule, which
    started long work only while two slots were free, kept slots idle and let
    long work start only after aging.
    """

    SHORT = enum.auto()
    LONG = enum.auto()
