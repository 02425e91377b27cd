"""Measures how long short statements wait, without and with long ones."""

import asyncio
import time
from typing import Final, final

from loadtool.arrivals import Phase, poisson_arrivals
from loadtool.latency_histogram import LatencyHistogram
from loadtool.load_source import LoadSource
from loadtool.open_loop import run_closed_loop, run_open_loop
from mimosapond.clock import MS_PER_S
from mimosapond.completed import Completed
from mimosapond.work_class import WorkClass

_GROUP_INDEX: Final = 1
_DURATION_S: Final = 6
_WARM_UP_S: Final = 1.5
_RATE_PER_S: Final = 70
_SHORT_COST_MS: Final = 5
_LONG_COST_MS: Final = 400
_LONG_WORKER_COUNT: Final = 4
_DEADLINE_MS: Final = 5000
_BATCH_DEADLINE_MS: Final = 60_000
_P99: Final = 99.0


@final
class WaitMeasure:
    """Measures waits of short statements.

    The wait is the latency of the answer minus the cost of the statement. It
    is counted from the scheduled start, so that a late start counts as well.
    """

    def __init__(self, source: LoadSource) -> None:
        """Send the load to the second group of a started deployment."""
        self._source = source
        self._workspace = source.deployment.workspaces[_GROUP_INDEX]
        self._waits = LatencyHistogram()
        self._warm_up_end_s: float = 0
        self._failed_count = 0
        self._long_count = 0

    async def run(self) -> dict[str, float]:
        """Return the 99th percentiles of the wait, without and with long ones.

        The numbers of completed long statements and of failed short ones are
        returned as well. A failed statement counts with its full deadline.
        """
        await self._run_short()
        wait_alone_ms = self._waits.percentile_ms(_P99)
        await asyncio.gather(
            self._run_short(),
            run_closed_loop(self._send_long, _LONG_WORKER_COUNT, _DURATION_S),
        )
        return {
            'short_wait_p99_ms': wait_alone_ms,
            'short_wait_p99_with_long_ms': self._waits.percentile_ms(_P99),
            'long_completed_count': self._long_count,
            'short_failed_count': self._failed_count,
        }

    async def _run_short(self) -> None:
        self._waits = LatencyHistogram()
        self._warm_up_end_s = time.monotonic() + _WARM_UP_S
        arrivals = poisson_arrivals(
            (Phase(_DURATION_S, _RATE_PER_S),),
            self._source.randomness,
        )
        await run_open_loop(arrivals, self._send_short)

    async def _send_short(self, _number: int, scheduled_s: float) -> None:
        outcome = await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _SHORT_COST_MS,
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_DEADLINE_MS,
            ),
        )
        latency_s = time.monotonic() - scheduled_s
        if not isinstance(outcome, Completed):
            self._failed_count += 1
            latency_s = _DEADLINE_MS / MS_PER_S
        if scheduled_s >= self._warm_up_end_s:
            self._waits.record(latency_s - _SHORT_COST_MS / MS_PER_S)

    async def _send_long(self) -> None:
        outcome = await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _LONG_COST_MS,
                work_class=WorkClass.BATCH,
                deadline_ms=_BATCH_DEADLINE_MS,
            ),
        )
        self._long_count += isinstance(outcome, Completed)
        if not isinstance(outcome, Completed):
            await asyncio.sleep(_WARM_UP_S)
