"""How busy the slots of members were between two readings."""

from collections.abc import Mapping
from typing import Final

from mimosapond.clock import MS_PER_S

BUSY_COUNTER: Final = 'slot_busy_ms'


def busy_ratio(
    before: Mapping[str, float],
    after: Mapping[str, float],
    slot_count: int,
    duration_s: float,
) -> float:
    """Return the busy share of all slots.

    Parameters
    ----------
    before, after
        Counter ``slot_busy_ms`` by member at the two readings.
    slot_count
        Slots of each member.
    duration_s
        Time between the readings.
    """
    busy_ms = sum(after[name] - before[name] for name in after)
    return busy_ms / (len(after) * slot_count * duration_s * MS_PER_S)
