"""Bounds the age of the data of a group's replicas.

Only the clock of this host is used, so the clocks of hosts need not agree.
"""

import collections
import math
from typing import Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.group_beacon import GroupBeacon
from mimosapond.standing import Standing

# Samples of two and a half minutes of beacons. The age of data that is older
# than all samples is unknown.
_SAMPLE_LIMIT_COUNT: Final = 600


@final
class AgeTracker:
    """Samples of local time and the primary's log position at that time.

    A log that contains the position of a sample holds all entries committed
    before the beacon was requested, so its data is not older than the sample.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without samples."""
        self._clock = clock
        self._samples: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_SAMPLE_LIMIT_COUNT)
        )

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Add a sample from the answer to a beacon request.

        A sample with the same position as the previous sample replaces it,
        because the position was still the newest at the later time. An answer
        that is older than the newest sample is ignored.

        Parameters
        ----------
        asked_s
            Start of the request on this host's monotonic clock.
        beacon
            The answer.
        """
        asked_s -= beacon.age_ms / MS_PER_S
        entry = (beacon.view.term, beacon.position)
        if self._samples:
            last_s, *last_entry = self._samples[-1]
            if asked_s <= last_s or entry < tuple(last_entry):
                return
            if entry == tuple(last_entry):
                self._samples.pop()
        self._samples.append((asked_s, *entry))

    def newest_age_ms(self) -> int | None:
        """Return the age of the newest sample; None without samples."""
        if not self._samples:
            return None
        return self._elapsed_ms(self._samples[-1][0])

    def is_confirmed_since(self, since_s: float, term: int) -> bool:
        """Return whether a beacon of ``term`` was requested at or after a time.

        Only the newest sample is considered.
        """
        if not self._samples:
            return False
        asked_s, newest_term, _ = self._samples[-1]
        return asked_s >= since_s and newest_term == term

    def age_ms(self, standing: Standing) -> int | None:
        """Return an upper bound of the age of a member's data, rounded up.

        Returns
        -------
        int or None
            None if the member's log contains the position of no sample.
        """
        for asked_s, term, position in reversed(self._samples):
            if position <= standing.position and standing.contains(
                term, position
            ):
                return self._elapsed_ms(asked_s)
        return None

    def _elapsed_ms(self, asked_s: float) -> int:
        age_s = max(0, self._clock.monotonic_s() - asked_s)
        return math.ceil(age_s * MS_PER_S)
