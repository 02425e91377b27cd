"""Whether a connection leads to the process that a member registered.

The answers of a member do not say which process gives them. A member that starts
again is registered under its id with another start, which a host reads later than
it may connect.
"""

import math
from typing import Final, final

from mimosapond.boot_clock import Now

# Time after the start of a process within which its registration can be read, or
# that of its former process has lapsed: three intervals of heartbeats, and some
# time for the store.
_REGISTRATION_S: Final = 4.0


@final
class ProcessIdentity:
    """Tells the connections to a known process from those to a later one.

    The end of a process ends all its connections. If no connection was lost, or
    if one from before the loss still answers, it is the process that was known.

    Attributes
    ----------
    confirmed_s
        Time at which the last read of the registry began that had the process.
    is_answer_certain
        Whether the last answer to a control request was that of the process.
    """

    def __init__(self, now: Now) -> None:
        """Start in doubt, as the registration may be that of a former process.

        Parameters
        ----------
        now
            Clock of all times.
        """
        self._now = now
        self.confirmed_s = -math.inf
        self.is_answer_certain = False
        # Time after which a connection may be one to another process; infinite
        # while none was lost.
        self._doubtful_from_s = -math.inf
        # Time at which a loss was last recorded.
        self._lost_s = now()
        # Time at which the process was last known to run.
        self._running_s = -math.inf

    @property
    def is_in_doubt(self) -> bool:
        """Whether a connection may lead to another process."""
        return self._doubtful_from_s < math.inf

    def record_loss(self, last_answer_s: float) -> None:
        """Record that a connection ended or could not be opened.

        Parameters
        ----------
        last_answer_s
            Time at which the process was last known to run, as far as that
            connection shows.
        """
        running_s = max(last_answer_s, self._running_s)
        self._doubtful_from_s = min(self._doubtful_from_s, running_s)
        self._lost_s = self._now()

    def record_answer(self, opened_s: float, sent_s: float) -> None:
        """Learn from any answer of the known process that it still runs.

        Parameters
        ----------
        opened_s
            Time at which the connection of the answer was opened.
        sent_s
            Time at which the request was sent.
        """
        if not self.is_certain(opened_s):
            return
        self._running_s = max(self._running_s, sent_s)
        if sent_s > self._lost_s:
            self.trust()
        else:
            self._doubtful_from_s = max(self._doubtful_from_s, sent_s)

    def trust(self) -> None:
        """End the doubt: the registered process was seen to run."""
        self._doubtful_from_s = math.inf

    def is_certain(self, opened_s: float) -> bool:
        """Return whether a connection leads to the known process.

        Parameters
        ----------
        opened_s
            Time at which the connection was opened.
        """
        registered_until_s = self.confirmed_s - _REGISTRATION_S
        return opened_s <= max(self._doubtful_from_s, registered_until_s)
