"""Clock that also counts the time in which the machine is suspended.

Ages of log positions and idle times must not stop while a host is frozen, as
members and callers go on meanwhile.
"""

import time
from collections.abc import Callable
from typing import TypeAlias

Now: TypeAlias = Callable[[], float]


def boot_time_s() -> float:
    """Return seconds since the machine started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
