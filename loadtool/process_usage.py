"""Processor time and memory of a process, from ``/proc``."""

import os
import pathlib
from typing import Final, Self, final

import attrs

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Fields of /proc/<pid>/stat after the command, see proc(5).
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12
_RESIDENT_PAGES: Final = 21


@final
@attrs.frozen
class ProcessUsage:
    """Totals of one process since its start."""

    cpu_s: float
    resident_bytes: int

    @classmethod
    def read(cls, process_id: int) -> Self:
        """Read the usage of a running process."""
        text = pathlib.Path(f'/proc/{process_id}/stat').read_text('ascii')
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return cls(
            cpu_s=ticks / _TICKS_PER_S,
            resident_bytes=int(fields[_RESIDENT_PAGES]) * _PAGE_BYTES,
        )
