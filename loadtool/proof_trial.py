"""A proof run: load and faults, recovery, and the check of the history."""

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
from loadtool.workload_session import WorkloadSession
from loadtool.recording_client import RecordingClient
from loadtool.proof_fault import FaultKind, InjectedFault
from loadtool.fault_injector import FaultInjector
from loadtool.deployment_observer import DeploymentObserver
from loadtool.operator_simulator import OperatorSimulator
from loadtool.process_fault_injector import ProcessFaultInjector
from loadtool.proof_result import ProofResult
from loadtool.fault_schedule import PlannedFaults, plan_faults
from loadtool.violation import Rule, Violation

_SESSIONS_PER_GROUP: Final = 4
# A transaction whose begin was not answered keeps the write lock for 30 s.
_RECOVERY_LIMIT_S: Final = 45
# Time for late attempts in flight to end before the logs are read.
_LATE_ATTEMPT_GRACE_S: Final = 1


@final
class ProofTrial:
    """Runs one seed against a running deployment.

    Attributes
    ----------
    history
        Requests and observations of the run.
    reports
        Log report of each running member at the end of the run.
    """

    def __init__(
        self,
        deployment: Deployment,
        client: CallerClient,
        seed: int,
    ) -> None:
        """Derive all random choices from ``seed``."""
        self._seed = seed
        self._deployment = deployment
        self.history = History()
        self._observer = DeploymentObserver(deployment, self.history)
        self._processes = ProcessFaultInjector(deployment, self.history)
        randomness = random.Random(seed)
        self._operators = OperatorSimulator(
            deployment,
            self._observer,
            self.history,
            random.Random(randomness.random()),
        )
        self._faults = FaultInjector(
            deployment,
            self._observer,
            self._processes,
            self._operators,
            random.Random(randomness.random()),
        )
        self._plans = plan_faults(random.Random(randomness.random()))
        calls = RecordingClient(client, self.history, deployment.hosts)
        numbers = itertools.product(
            range(len(deployment.groups)),
            range(_SESSIONS_PER_GROUP),
        )
        self._callers = [
            WorkloadSession(
                deployment,
                calls,
                random.Random(randomness.random()),
                f'session-{group}-{number}',
                group,
            )
            for group, number in numbers
        ]
        self._injected_faults: list[InjectedFault] = []
        self.reports: list[Any] = []

    async def run(
        self,
        duration_s: float,
        kinds: tuple[FaultKind, ...] = (),
    ) -> ProofResult:
        """Inject faults under load, remove them and check the history.

        Parameters
        ----------
        duration_s
            Time of load and faults.
        kinds
            Faults to inject in turn; empty for the seeded schedule.
        """
        begin_s = time.monotonic()
        async with _background([self._observer.run()]):
            await self._observe_once()
            async with _background(
                each.run() for each in self._callers
            ) as load:
                await self._inject_faults(begin_s + duration_s, kinds)
                await self._faults.remove_faults()
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
            faults=self._injected_faults,
            lost_count=count_lost(self.history, logs),
            newest_terms=dict(self._observer.newest_terms),
            violations=found,
            unexpected_exits=self._processes.unexpected_exits(),
        )

    async def _observe_once(self) -> None:
        await asyncio.gather(
            *map(self._observer.observe_group, self._deployment.groups),
        )

    async def _inject_faults(
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
            await self._inject_planned(plan)

    async def _inject_planned(self, plan: PlannedFaults) -> None:
        is_only_fault = len(plan.kinds) == 1
        numbered = enumerate(zip(plan.kinds, plan.holds_s, strict=True))
        injected = await asyncio.gather(
            *(
                self._inject_one(
                    kind,
                    hold_s,
                    plan.offset_s * number,
                    is_only_fault=is_only_fault,
                )
                for number, (kind, hold_s) in numbered
            ),
        )
        self._injected_faults.extend(injected)

    async def _inject_one(
        self,
        kind: FaultKind,
        hold_s: float,
        offset_s: float,
        *,
        is_only_fault: bool,
    ) -> InjectedFault:
        await asyncio.sleep(offset_s)
        return await self._faults.inject(
            kind, hold_s, is_only_fault=is_only_fault
        )

    async def _recover(self) -> list[Violation]:
        """Wait until all groups take writes, and query the open outcomes.

        Returns
        -------
        list[Violation]
            One violation for each group that took no writes in time.
        """
        violations = await self._await_writes()
        await asyncio.gather(
            *(caller.settle_open() for caller in self._callers)
        )
        await asyncio.sleep(_LATE_ATTEMPT_GRACE_S)
        return violations or await self._await_writes()

    async def _await_writes(self) -> list[Violation]:
        first_callers = self._callers[::_SESSIONS_PER_GROUP]
        has_written = await asyncio.gather(
            *map(_write_until_durable, first_callers)
        )
        return [
            Violation(Rule.NOT_RECOVERED, group.name)
            for group, is_written in zip(
                self._deployment.groups,
                has_written,
                strict=True,
            )
            if not is_written
        ]


async def _write_until_durable(caller: WorkloadSession) -> bool:
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
        await _cancel(tasks)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    for end in ends:
        # Without this check, a failed task would reduce the load unnoticed.
        if isinstance(end, Exception):
            raise end
