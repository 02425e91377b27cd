"""Measures urgent requests while their rate rises tenfold under batch load.

The load goes to the two replicas of one group, which have four slots together.
Enough long batch statements are in flight that some always wait for a slot.
Interactive requests and short batch statements use the remaining time, so that
no slot is idle for lack of work.
"""

import asyncio
import time
from typing import Final, final

from loadtool.arrivals import Phase, poisson_arrivals
from loadtool.load_source import LoadSource
from loadtool.open_loop import run_closed_loop, run_open_loop
from loadtool.slot_use import busy_ratio
from mimosapond.completed import Completed
from mimosapond.work_class import WorkClass

_GROUP_INDEX: Final = 0
_NORMAL_LOAD_S: Final = 3
_PEAK_S: Final = 10
_NORMAL_RATE_PER_S: Final = 14
_PEAK_FACTOR: Final = 10
_URGENT_COST_MS: Final = 5
_URGENT_DEADLINE_MS: Final = 250
_INTERACTIVE_RATE_PER_S: Final = 15
_INTERACTIVE_COST_MS: Final = 20
_INTERACTIVE_DEADLINE_MS: Final = 5000
_LONG_BATCH_COST_MS: Final = 300
_LONG_BATCH_WORKER_COUNT: Final = 8
_SHORT_BATCH_COST_MS: Final = 40
_SHORT_BATCH_WORKER_COUNT: Final = 12
_BATCH_DEADLINE_MS: Final = 60_000
_MAX_AGE_MS: Final = 5000
_RETRY_PAUSE_S: Final = 0.1


@final
class PeakLoadMeasure:
    """Runs a normal load and then a peak load, and measures the peak."""

    def __init__(self, source: LoadSource) -> None:
        """Send the load to the first group of a started deployment."""
        self._source = source
        self._workspace = source.deployment.workspaces[_GROUP_INDEX]
        self._urgent_count = 0
        self._deadline_met_count = 0
        self._long_batch_count = 0
        self._peak_start_s: float = 0
        self._busy_ratio: float = 0

    async def run(self) -> dict[str, float]:
        """Run the load and return the values measured during the peak.

        Returns
        -------
        dict[str, float]
            Share of urgent requests completed within their deadline, share of
            the slot time that was busy, and the numbers of urgent requests and
            of long batch statements. The last covers the normal load as well.
        """
        total_s = _NORMAL_LOAD_S + _PEAK_S
        self._peak_start_s = time.monotonic() + _NORMAL_LOAD_S
        async with asyncio.TaskGroup() as load:
            load.create_task(
                run_closed_loop(
                    self._send_long_batch, _LONG_BATCH_WORKER_COUNT, total_s
                ),
            )
            load.create_task(
                run_closed_loop(
                    self._send_short_batch, _SHORT_BATCH_WORKER_COUNT, total_s
                ),
            )
            load.create_task(self._run_interactive(total_s))
            load.create_task(self._run_urgent())
            load.create_task(self._measure_slots())
        return {
            'urgent_deadline_met_ratio': self._deadline_met_count
            / self._urgent_count,
            'crest_slot_busy_ratio': self._busy_ratio,
            'crest_urgent_count': self._urgent_count,
            'crest_tally_count': self._long_batch_count,
        }

    async def _run_urgent(self) -> None:
        phases = (
            Phase(_NORMAL_LOAD_S, _NORMAL_RATE_PER_S),
            Phase(_PEAK_S, _PEAK_FACTOR * _NORMAL_RATE_PER_S),
        )
        arrivals = poisson_arrivals(phases, self._source.randomness)
        await run_open_loop(arrivals, self._send_urgent)

    async def _run_interactive(self, total_s: float) -> None:
        arrivals = poisson_arrivals(
            (Phase(total_s, _INTERACTIVE_RATE_PER_S),),
            self._source.randomness,
        )
        await run_open_loop(arrivals, self._send_interactive)

    async def _send_urgent(self, _number: int, scheduled_s: float) -> None:
        outcome = await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _URGENT_COST_MS,
                work_class=WorkClass.URGENT,
                deadline_ms=_URGENT_DEADLINE_MS,
            ),
        )
        latency_s = time.monotonic() - scheduled_s
        if scheduled_s < self._peak_start_s:
            return
        self._urgent_count += 1
        is_met = latency_s * 1000 <= _URGENT_DEADLINE_MS
        self._deadline_met_count += is_met and isinstance(outcome, Completed)

    async def _send_interactive(
        self, _number: int, _scheduled_s: float
    ) -> None:
        await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _INTERACTIVE_COST_MS,
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_INTERACTIVE_DEADLINE_MS,
            ),
        )

    async def _send_long_batch(self) -> None:
        is_complete = await self._send_batch(_LONG_BATCH_COST_MS)
        self._long_batch_count += is_complete

    async def _send_short_batch(self) -> None:
        await self._send_batch(_SHORT_BATCH_COST_MS)

    async def _send_batch(self, cost_ms: int) -> bool:
        outcome = await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                cost_ms,
                work_class=WorkClass.BATCH,
                deadline_ms=_BATCH_DEADLINE_MS,
                max_age_ms=_MAX_AGE_MS,
            ),
        )
        if isinstance(outcome, Completed):
            return True
        # A refusal returns at once. Without a pause, the closed loop would
        # flood the hosts with requests.
        await asyncio.sleep(_RETRY_PAUSE_S)
        return False

    async def _measure_slots(self) -> None:
        members = await self._source.replicas(_GROUP_INDEX)
        await asyncio.sleep(self._peak_start_s - time.monotonic())
        started_s = time.monotonic()
        before = await self._source.busy_ms(members)
        await asyncio.sleep(_PEAK_S)
        after = await self._source.busy_ms(members)
        self._busy_ratio = busy_ratio(
            before,
            after,
            self._source.deployment.spec.slot_count,
            time.monotonic() - started_s,
        )
