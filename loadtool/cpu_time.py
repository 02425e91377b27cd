"""CPU time of child processes of the load tool."""

import os
import pathlib
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Indexes of utime and stime after the command name in /proc/<pid>/stat.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12


def parse_cpu_s(stat_text: str, ticks_per_s: int = _TICKS_PER_S) -> float:
    """Return the sum of user and system time in a line of ``stat``."""
    fields = stat_text.rsplit(')', 1)[1].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / ticks_per_s


def read_cpu_s(process_id: int) -> float:
    """Return the CPU time that a process has used since its start."""
    path = pathlib.Path('/proc') / str(process_id) / 'stat'
    return parse_cpu_s(path.read_text(encoding='utf-8'))
