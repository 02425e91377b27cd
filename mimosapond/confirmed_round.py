"""Result of a round in which a majority confirmed a held term."""

from typing import final

import attrs


@final
@attrs.frozen
class ConfirmedRound:
    """Start of a successful round and the position it returned.

    Attributes
    ----------
    began_s
        Monotonic time of the holder before it asked the members.
    position
        The primary's last log position at some time after ``began_s``.
    """

    began_s: float
    position: int
