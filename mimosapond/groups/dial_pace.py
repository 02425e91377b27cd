"""Limits how many connections a pool opens at once, and how soon."""

import random
from collections import Counter
from typing import Final, final

from mimosapond.boot_clock import Now

# Connections that are opened at once at most. The member spends slot time on
# each, which statements then lack.
_MAX_DIAL_COUNT: Final = 4
# Connections that are opened beyond this while a probe waits, so that probes do
# not wait for members' answers to other dials.
_PROBE_DIAL_COUNT: Final = 1
# Back-off after the member refused a connection because it has too many. Each
# further refusal doubles it. Members count the connections of a host that lost
# power for seconds, and other pools compete for the same places.
_MIN_BACK_OFF_S: Final = 0.06
_MAX_BACK_OFF_S: Final = 0.48


@final
class DialPace:
    """Decides when a pool may open a connection.

    After a refusal, one attempt is made at a time until one succeeds. The
    number of attempts at once then doubles with each success.
    """

    def __init__(self, now: Now) -> None:
        """Start without a refusal."""
        self._now = now
        self._allowed_count = _MAX_DIAL_COUNT
        self._back_off_s = _MIN_BACK_OFF_S
        self._not_before_s: float = 0
        # Connections that are being opened, by workspace.
        self.dialing_counts: Counter[str] = Counter()

    @property
    def back_off_left_s(self) -> float:
        """Time until the next attempt; 0 if none has to be waited for."""
        return max(self._not_before_s - self._now(), 0)

    def may_start(self, *, is_probe: bool) -> bool:
        """Return whether another connection may be opened now."""
        limit_count = self._allowed_count + _PROBE_DIAL_COUNT * is_probe
        return (
            not self.back_off_left_s
            and self.dialing_counts.total() < limit_count
        )

    def start(self, workspace: str) -> None:
        """Count a connection that is being opened."""
        self.dialing_counts[workspace] += 1

    def end(self, workspace: str) -> None:
        """Stop counting a connection that was opened, or was not."""
        self.dialing_counts[workspace] -= 1
        if not self.dialing_counts[workspace]:
            self.dialing_counts.pop(workspace)

    def record_success(self) -> None:
        """Allow more attempts at once.

        An attempt that began before a refusal and ends during the back-off
        does not tell that the member has places again.
        """
        if self.back_off_left_s:
            return
        self._back_off_s = _MIN_BACK_OFF_S
        self._allowed_count = min(self._allowed_count * 2, _MAX_DIAL_COUNT)

    def record_refusal(self) -> float | None:
        """Begin a back-off; attempts that end during it do not prolong it.

        Returns
        -------
        float | None
            Length of the back-off in seconds; None if one was under way.
        """
        self._allowed_count = 1
        if self.back_off_left_s:
            return None
        back_off_s = self._back_off_s * (1 + random.random())
        self._not_before_s = self._now() + back_off_s
        self._back_off_s = min(self._back_off_s * 2, _MAX_BACK_OFF_S)
        return back_off_s
