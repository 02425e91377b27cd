"""One proof run: a deployment, callers, faults, and the check at the end."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator, Coroutine, Iterable
from typing import Any, Final, final

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployment import Deployment
from loadtool.history import History
from loadtool.log_reader import LogReader
from loadtool.history_checker import check_history, count_lost
from loadtool.proof_caller import ProofCaller
from loadtool.proof_calls import ProofCalls
from loadtool.proof_fault import FaultKind, MetFault
from loadtool.proof_faults import ProofFaults
from loadtool.proof_observer import ProofObserver
from loadtool.proof_operators import ProofOperators
from loadtool.proof_processes import ProofProcesses
from loadtool.proof_result import ProofResult
from loadtool.proof_schedule import PlannedFaults, plan_faults
from loadtool.violation import Rule, Violation

_SESSIONS_PER_GROUP: Final = 4
# A transaction whose begin was not answered holds the write lock for 30 s.
_RECOVERY_LIMIT_S: Final = 45
# Lets late tries that are still under way end before the logs are read.
_LATE_S: Final = 1


@final
class ProofTrial:
    """Runs one seed against a started deployment."""

    def __init__(
        self,
        deployment: Deployment,
        client: CallerClient,
        seed: int,
    ) -> None:
        """Derive all decisions from ``seed``."""
        self._seed = seed
        self._deployment = deployment
        self.history = History()
        self._observer = ProofObserver(deployment, self.history)
        self._processes = ProofProcesses(deployment, self.history)
        randomness = random.Random(seed)
        self._operators = ProofOperators(
            deployment,
            self._observer,
            self.history,
            random.Random(randomness.random()),
        )
        self._faults = ProofFaults(
            deployment,
            self._observer,
            self._processes,
            self._operators,
            random.Random(randomness.random()),
        )
        self._plans = plan_faults(random.Random(randomness.random()))
        calls = ProofCalls(client, self.history, deployment.hosts)
        numbers = itertools.product(
            range(len(deployment.groups)),
            range(_SESSIONS_PER_GROUP),
        )
        self._callers = [
            ProofCaller(
                deployment,
                calls,
                random.Random(randomness.random()),
                f'session-{group}-{number}',
                group,
            )
            for group, number in numbers
        ]
        self._met: list[MetFault] = []
        self.reports: list[Any] = []

    async def run(
        self,
        duration_s: float,
        kinds: tuple[FaultKind, ...] = (),
    ) -> ProofResult:
        """Meet faults for ``duration_s``, heal them and check.

        Parameters
        ----------
        duration_s
            Time of load and faults.
        kinds
            Faults to meet one by one; empty for the seeded schedule.
        """
        begin_s = time.monotonic()
        async with _background([self._observer.run()]):
            await self._observe_once()
            async with _background(one.run() for one in self._callers) as load:
                await self._meet_faults(begin_s + duration_s, kinds)
                await self._faults.heal()
                end_s = time.monotonic()
                for caller in self._callers:
                    caller.stop()
                await asyncio.wait(load)
            found = await self._recover()
            reader = LogReader(self._deployment, self._processes)
            logs = await reader.read()
        self.reports = reader.reports
        found += reader.violations
        found += self._operators.violations
        found += check_history(self.history, logs)
        return ProofResult(
            seed=self._seed,
            duration_s=duration_s,
            begin_s=begin_s,
            end_s=end_s,
            history=self.history,
            faults=self._met,
            lost_count=count_lost(self.history, logs),
            term_counts=dict(self._observer.term_counts),
            violations=found,
            fallen=self._processes.fallen(),
        )

    async def _observe_once(self) -> None:
        await asyncio.gather(
            *map(self._observer.watch_group, self._deployment.groups),
        )

    async def _meet_faults(
        self,
        end_s: float,
        kinds: tuple[FaultKind, ...],
    ) -> None:
        plans: Iterable[PlannedFaults] = self._plans
        if kinds:
            plans = (
                attrs.evolve(plan, kinds=(kind,), holds_s=plan.holds_s[:1])
                for plan, kind in zip(self._plans, itertools.cycle(kinds))
            )
        for plan in plans:
            await asyncio.sleep(plan.calm_s)
            if time.monotonic() > end_s:
                return
            await self._meet(plan)

    async def _meet(self, plan: PlannedFaults) -> None:
        is_alone = len(plan.kinds) == 1
        numbered = enumerate(zip(plan.kinds, plan.holds_s, strict=True))
        met = await asyncio.gather(
            *(
                self._meet_one(
                    kind,
                    hold_s,
                    plan.offset_s * number,
                    is_alone=is_alone,
                )
                for number, (kind, hold_s) in numbered
            ),
        )
        self._met.extend(met)

    async def _meet_one(
        self,
        kind: FaultKind,
        hold_s: float,
        offset_s: float,
        *,
        is_alone: bool,
    ) -> MetFault:
        await asyncio.sleep(offset_s)
        return await self._faults.meet(kind, hold_s, is_alone=is_alone)

    async def _recover(self) -> list[Violation]:
        """Wait for writes, settle what is open, and write once more."""
        found = await self._await_writes()
        await asyncio.gather(*(one.settle_open() for one in self._callers))
        await asyncio.sleep(_LATE_S)
        return found or await self._await_writes()

    async def _await_writes(self) -> list[Violation]:
        lasts = self._callers[::_SESSIONS_PER_GROUP]
        has_written = await asyncio.gather(*map(_write_until_durable, lasts))
        return [
            Violation(Rule.NOT_RECOVERED, group.name)
            for group, is_written in zip(
                self._deployment.groups,
                has_written,
                strict=True,
            )
            if not is_written
        ]


async def _write_until_durable(caller: ProofCaller) -> bool:
    limit_s = time.monotonic() + _RECOVERY_LIMIT_S
    while time.monotonic() < limit_s:
        if await caller.write_durably():
            return True
    return False


@contextlib.asynccontextmanager
async def _background(
    runs: Iterable[Coroutine[Any, Any, None]],
) -> AsyncIterator[list[asyncio.Task[None]]]:
    tasks = [asyncio.create_task(run) for run in runs]
    try:
        yield tasks
    finally:
        await _end(tasks)


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    for end in ends:
        # A task that failed earlier would have stopped the load unnoticed.
        if isinstance(end, Exception):
            raise end
