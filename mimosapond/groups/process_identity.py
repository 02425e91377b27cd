"""Whether a connection leads to the process that a member registered.

The answers of a member do not say which process gives them. A member that starts
again is registered under its id with another start, which a host reads later than
it may connect.
"""

import math
from typing import Final, final

# Time after the start of a process within which its registration can be read, or
# that of its former process has lapsed: three intervals of heartbeats, and some
# time for the store.
_REGISTRATION_S: Final = 4.0


@final
class ProcessIdentity:
    """Tells the connections to a known process from those to a later one.

    The end of a process ends all its connections. If no connection was lost, or
    one from before the loss still answers, it is the process that was known.

    Attributes
    ----------
    confirmed_s
        Time at which the last read of the registry began that had the process.
    is_answer_certain
        Whether the last answer to a control request was that of the process.
    """

    def __init__(self, created_s: float) -> None:
        """Start in doubt, as the registration may be that of a former process."""
        self.confirmed_s = -math.inf
        self.is_answer_certain = False
        # Time after which a connection may be one to another process; infinite
        # while none was lost.
        self._doubtful_from_s = created_s

    def record_loss(self, last_answer_s: float) -> None:
        """Record that a connection ended or could not be opened.

        Parameters
        ----------
        last_answer_s
            Time at which the process was last known to run.
        """
        self._doubtful_from_s = min(self._doubtful_from_s, last_answer_s)

    def trust(self) -> None:
        """End the doubt: the registered process was seen to run."""
        self._doubtful_from_s = math.inf

    def is_certain(self, opened_s: float) -> bool:
        """Return whether an answer is that of the known process.

        Parameters
        ----------
        opened_s
            Time at which the connection of the answer was opened.
        """
        is_registered = opened_s + _REGISTRATION_S < self.confirmed_s
        if opened_s < self._doubtful_from_s or is_registered:
            self.trust()
        return self._doubtful_from_s == math.inf
