"""Service at the crest: urgent orders rise tenfold while tallies run.

The load goes to the two replicas of one group (four slots). Tally runs always
wait for a slot; ordinary work and small batch pieces fill the rest, so that no
slot idles for lack of work.
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
_ORDINARY_S: Final = 3
_CREST_S: Final = 10
_ORDINARY_RATE_PER_S: Final = 14
_CREST_FACTOR: Final = 10
_URGENT_COST_MS: Final = 5
_URGENT_DEADLINE_MS: Final = 250
_BOARD_RATE_PER_S: Final = 15
_BOARD_COST_MS: Final = 20
_BOARD_DEADLINE_MS: Final = 5000
_TALLY_COST_MS: Final = 300
_TALLY_WORKER_COUNT: Final = 8
_PIECE_COST_MS: Final = 40
_PIECE_WORKER_COUNT: Final = 12
_BATCH_DEADLINE_MS: Final = 60_000
_MAX_AGE_MS: Final = 5000
_PAUSE_S: Final = 0.1


@final
class CrestMeasure:
    """One crest; the result is a value per measure."""

    def __init__(self, source: LoadSource) -> None:
        """Use the first group of a started deployment."""
        self._source = source
        self._workspace = source.deployment.workspaces[_GROUP_INDEX]
        self._urgent_count = 0
        self._met_count = 0
        self._tally_count = 0
        self._crest_begin_s: float = 0
        self._busy_ratio: float = 0

    async def run(self) -> dict[str, float]:
        """Run the load and return the figures of the crest."""
        total_s = _ORDINARY_S + _CREST_S
        self._crest_begin_s = time.monotonic() + _ORDINARY_S
        async with asyncio.TaskGroup() as load:
            load.create_task(
                run_closed_loop(self._tally, _TALLY_WORKER_COUNT, total_s),
            )
            load.create_task(
                run_closed_loop(self._piece, _PIECE_WORKER_COUNT, total_s),
            )
            load.create_task(self._run_boards(total_s))
            load.create_task(self._run_urgent())
            load.create_task(self._watch_slots())
        return {
            'urgent_deadline_met_ratio': self._met_count / self._urgent_count,
            'crest_slot_busy_ratio': self._busy_ratio,
            'crest_urgent_count': self._urgent_count,
            'crest_tally_count': self._tally_count,
        }

    async def _run_urgent(self) -> None:
        phases = (
            Phase(_ORDINARY_S, _ORDINARY_RATE_PER_S),
            Phase(_CREST_S, _CREST_FACTOR * _ORDINARY_RATE_PER_S),
        )
        arrivals = poisson_arrivals(phases, self._source.randomness)
        await run_open_loop(arrivals, self._urgent)

    async def _run_boards(self, total_s: float) -> None:
        arrivals = poisson_arrivals(
            (Phase(total_s, _BOARD_RATE_PER_S),),
            self._source.randomness,
        )
        await run_open_loop(arrivals, self._board)

    async def _urgent(self, _number: int, scheduled_s: float) -> None:
        outcome = await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _URGENT_COST_MS,
                work_class=WorkClass.URGENT,
                deadline_ms=_URGENT_DEADLINE_MS,
            ),
        )
        took_s = time.monotonic() - scheduled_s
        if scheduled_s < self._crest_begin_s:
            return
        self._urgent_count += 1
        is_met = took_s * 1000 <= _URGENT_DEADLINE_MS
        self._met_count += is_met and isinstance(outcome, Completed)

    async def _board(self, _number: int, _scheduled_s: float) -> None:
        await self._source.send(
            self._source.read_of_cost(
                self._workspace,
                _BOARD_COST_MS,
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_BOARD_DEADLINE_MS,
            ),
        )

    async def _tally(self) -> None:
        is_complete = await self._batch(_TALLY_COST_MS)
        self._tally_count += is_complete

    async def _piece(self) -> None:
        await self._batch(_PIECE_COST_MS)

    async def _batch(self, cost_ms: int) -> bool:
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
        # A refusal comes at once; without a pause, resends would flood hosts.
        await asyncio.sleep(_PAUSE_S)
        return False

    async def _watch_slots(self) -> None:
        members = await self._source.replicas(_GROUP_INDEX)
        await asyncio.sleep(self._crest_begin_s - time.monotonic())
        begun_s = time.monotonic()
        before = await self._source.busy_ms(members)
        await asyncio.sleep(_CREST_S)
        after = await self._source.busy_ms(members)
        self._busy_ratio = busy_ratio(
            before,
            after,
            self._source.deployment.spec.slot_count,
            time.monotonic() - begun_s,
        )
