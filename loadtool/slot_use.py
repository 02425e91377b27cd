"""Computes how busy the slots of members were between two readings."""

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
    """Return the share of the slot time that was busy, from 0 to 1.

    Parameters
    ----------
    before, after
        Counter ``slot_busy_ms`` of each member at the two readings, by member.
    slot_count
        Number of slots of each member.
    duration_s
        Time between the two readings.
    """
    busy_ms = sum(after[name] - before[name] for name in after)
    return busy_ms / (len(after) * slot_count * duration_s * MS_PER_S)
