"""CPU time of the load tool's own child processes."""

import os
import pathlib
from typing import Final

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Fields of /proc/<pid>/stat after the command name: utime and stime.
_USER_FIELD: Final = 11
_SYSTEM_FIELD: Final = 12


def parse_cpu_s(stat_text: str, ticks_per_s: int = _TICKS_PER_S) -> float:
    """Return user and system time in seconds from a line of ``stat``."""
    fields = stat_text.rsplit(')', 1)[1].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / ticks_per_s


def cpu_s(process_id: int) -> float:
    """Return the CPU time that a process has used."""
    path = pathlib.Path('/proc') / str(process_id) / 'stat'
    return parse_cpu_s(path.read_text(encoding='utf-8'))
