"""A round of checks that confirmed a held term."""

from typing import final

import attrs


@final
@attrs.frozen
class ConfirmedRound:
    """Start of the round and the primary's position in it.

    Attributes
    ----------
    began_s
        Monotonic time of the holder.
    position
        The primary's last log position at some time after ``began_s``.
    """

    began_s: float
    position: int
