"""CPU time and memory of a process, read from ``/proc``."""

import os
import pathlib
from typing import Final, Self, final

import attrs

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Indexes of fields after the command name in /proc/<pid>/stat, see proc(5).
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_RESIDENT_PAGES_FIELD: Final = 21


@final
@attrs.frozen
class ProcessUsage:
    """CPU time of a process since its start, and its resident memory."""

    cpu_s: float
    resident_bytes: int

    @classmethod
    def read(cls, process_id: int) -> Self:
        """Read the usage of a running process."""
        text = pathlib.Path(f'/proc/{process_id}/stat').read_text('ascii')
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[_USER_TICKS_FIELD]) + int(
            fields[_SYSTEM_TICKS_FIELD]
        )
        return cls(
            cpu_s=ticks / _TICKS_PER_S,
            resident_bytes=int(fields[_RESIDENT_PAGES_FIELD]) * _PAGE_BYTES,
        )
