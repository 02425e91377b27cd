"""A stream of small urgent writes to one group at a constant rate."""

import asyncio
import itertools
import time
from typing import Final, Self, final

from loadtool.arrivals import Phase, steady_arrivals
from loadtool.load_source import LoadSource
from loadtool.open_loop import run_open_loop
from loadtool.write_gap import longest_gap_s
from mimosapond.completed import Completed
from mimosapond.work_class import WorkClass

_RATE_PER_S: Final = 20
_MAX_DURATION_S: Final = 120
_DEADLINE_MS: Final = 1000
_POLL_INTERVAL_S: Final = 0.02
_ROW_NUMBERS: Final = itertools.count()


@final
class WriteStream:
    """Context manager that writes and records times of acknowledgements."""

    def __init__(self, source: LoadSource, group_index: int) -> None:
        """Write to the group ``group_index``."""
        self._source = source
        self._workspace = source.deployment.workspaces[group_index]
        self._acknowledged_s: list[float] = []
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start to write and wait for the first acknowledgements."""
        arrivals = steady_arrivals(Phase(_MAX_DURATION_S, _RATE_PER_S))
        self._task = asyncio.create_task(run_open_loop(arrivals, self._write))
        await self.wait_writes(time.monotonic(), 3, _MAX_DURATION_S)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait_writes(
        self, since_s: float, count: int, timeout_s: float
    ) -> bool:
        """Wait until ``count`` writes were acknowledged after ``since_s``.

        Returns
        -------
        bool
            False if that took longer than ``timeout_s``.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            later = [
                time_s for time_s in self._acknowledged_s if time_s > since_s
            ]
            if len(later) >= count:
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    def gap_s(self, begin_s: float) -> float:
        """Return the longest gap between acknowledgements since ``begin_s``."""
        return longest_gap_s(self._acknowledged_s, begin_s, time.monotonic())

    async def _write(self, _number: int, _scheduled_s: float) -> None:
        outcome = await self._source.send(
            self._source.requests.insert(
                self._workspace,
                f'order-{next(_ROW_NUMBERS)}',
                work_class=WorkClass.URGENT,
                deadline_ms=_DEADLINE_MS,
            ),
        )
        if isinstance(outcome, Completed):
            self._acknowledged_s.append(time.monotonic())
