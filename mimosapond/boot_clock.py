"""Monotonic clock that includes the time while the machine is suspended.

Ages of log positions and idle times must keep growing while a host is
suspended, because members and callers keep running.
"""

import time
from collections.abc import Callable
from typing import TypeAlias

Now: TypeAlias = Callable[[], float]


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
