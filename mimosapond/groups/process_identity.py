"""Whether a connection leads to the process that a member registered.

The answers of a member do not say which process gives them. A member that starts
again is registered under its id with another start, which a host reads later than
it may connect.
"""

import math
from typing import Final, final

# Time after the start of a process within which its registration can be read.
_REGISTRATION_S: Final = 0.5


@final
class ProcessIdentity:
    """Tells the connections to a known process from those to a later one.

    The end of a process ends all its connections. If no connection was lost, or
    one from before the loss still answers, it is the process that was known.

    Attributes
    ----------
    confirmed_s
        Time at which the last read of the registry began that had the process.
    """

    def __init__(self) -> None:
        """Start without a lost connection."""
        self.confirmed_s = -math.inf
        self._lost_s = -math.inf

    def record_loss(self, now_s: float) -> None:
        """Record that a connection ended or could not be opened."""
        self._lost_s = now_s

    def is_certain(self, opened_s: float) -> bool:
        """Return whether an answer is that of the known process.

        Parameters
        ----------
        opened_s
            Time at which the connection of the answer was opened.
        """
        is_older = opened_s < self._lost_s
        if is_older or opened_s + _REGISTRATION_S < self.confirmed_s:
            self._lost_s = -math.inf
        return math.isinf(self._lost_s)
