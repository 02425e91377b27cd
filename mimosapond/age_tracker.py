"""Dates the data of a group's replicas without comparing clocks."""

import collections
import math
from typing import Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.group_beacon import GroupBeacon
from mimosapond.standing import Standing

# Two and a half minutes of beacons; older data has no known age.
_PAIR_LIMIT_COUNT: Final = 600


@final
class AgeTracker:
    """Pairs of local time and the primary's log position at that time.

    A log that contains the position of a pair holds all that was committed
    before the beacon was asked for, so its data is not older than the pair.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any pair."""
        self._clock = clock
        self._pairs: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_PAIR_LIMIT_COUNT)
        )

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Add the answer to a beacon request that was begun at ``asked_s``.

        A pair with the position of the pair before replaces it, since the
        same entry then proves a later time. Late answers add nothing.
        """
        asked_s -= beacon.age_ms / MS_PER_S
        entry = (beacon.view.term, beacon.position)
        if self._pairs:
            last_s, *last_entry = self._pairs[-1]
            if asked_s <= last_s or entry < tuple(last_entry):
                return
            if entry == tuple(last_entry):
                self._pairs.pop()
        self._pairs.append((asked_s, *entry))

    def newest_age_ms(self) -> int | None:
        """Return the age of the newest pair; None without any."""
        if not self._pairs:
            return None
        return self._since_ms(self._pairs[-1][0])

    def is_confirmed_since(self, since_s: float, term: int) -> bool:
        """Return whether a beacon that was asked for later is of ``term``."""
        if not self._pairs:
            return False
        asked_s, newest_term, _ = self._pairs[-1]
        return asked_s >= since_s and newest_term == term

    def age_ms(self, standing: Standing) -> int | None:
        """Return an upper bound of the age of a member's data.

        Returns
        -------
        int or None
            None when no pair's position is in the member's log.
        """
        for asked_s, term, position in reversed(self._pairs):
            if position <= standing.position and standing.contains(
                term, position
            ):
                return self._since_ms(asked_s)
        return None

    def _since_ms(self, asked_s: float) -> int:
        age_s = max(0, self._clock.monotonic_s() - asked_s)
        return math.ceil(age_s * MS_PER_S)
