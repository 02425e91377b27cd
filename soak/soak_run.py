"""Runs a live test and collects violations and counters."""

import asyncio
import collections
import pathlib
from collections.abc import Callable
from typing import Any, Final, final

import attrs

from soak.balancer import Balancer, FixedHost
from soak.caller import Caller
from soak.deployment import SoakDeployment
from soak.disruption_log import DisruptionLog
from soak.fault_driver import FaultDriver
from soak.fault_schedule import build_schedule
from soak.http_json import get_json, post_json
from soak.layout import LOOPBACK, GroupLayout, Layout
from soak.log_scan import find_errors
from soak.operator import Operator
from soak.plan import SoakPlan
from soak.promotion_check import check_promotions
from soak.shared_state import SharedState
from soak.unanswered_check import UnansweredCheck
from soak.violation import Violation, ViolationLog

# Time for hosts to load the first configuration and to find the primaries.
_START_WAIT_S: Final = 1.5
# Time for the store to apply delayed calls and for members to recover before
# the final checks.
_SETTLE_S: Final = 3.0
# One caller in so many stays with one host, and uses it until it is gone.
_STEADY_CALLER_INTERVAL: Final = 3
_MAX_DETAIL_CHARS: Final = 300
_LOST: Final = 'LOST'


@final
@attrs.frozen
class SoakResult:
    """Violations that a live test found, and its activity counters."""

    violations: list[Violation]
    counts: dict[str, int]


@final
class SoakRun:
    """Runs one live test."""

    def __init__(self, plan: SoakPlan, folder: pathlib.Path) -> None:
        """Create a test that writes settings and logs to ``folder``."""
        self._plan = plan
        self._deployment = SoakDeployment(Layout.choose(plan), folder)
        self._layout = self._deployment.layout
        self._operator = Operator(self._layout, plan.seed)
        self._violations = ViolationLog()
        self._disruptions = DisruptionLog()
        self._unanswered_check = UnansweredCheck(
            self._disruptions, self._violations
        )
        self._shared_states = {
            group.name: SharedState(
                plan.seed, self._violations, is_crowded=plan.is_crowded
            )
            for group in self._layout.groups
        }

    async def run(self) -> SoakResult:
        """Start all processes, inject the faults and check the final state."""
        try:
            await self._run()
        finally:
            await self._deployment.close()
        self._check_logs()
        return SoakResult(self._violations.found, self._counts())

    async def _run(self) -> None:
        await self._deployment.start()
        await self._operator.write_next()
        await asyncio.sleep(_START_WAIT_S)
        await self._run_callers()
        await asyncio.sleep(_SETTLE_S)
        self._deployment.check_exits(self._violations)
        for group in self._layout.groups:
            await self._check_group(group)
        await self._check_promotions()

    async def _run_callers(self) -> None:
        """Run the callers until the faults have ended."""
        balancer = Balancer(self._layout)
        driver = FaultDriver(
            self._deployment, self._operator, self._disruptions
        )
        tasks = [
            asyncio.create_task(work())
            for work in (balancer.run, *self._callers(balancer))
        ]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(asyncio.sleep(self._plan.duration_s))
                group.create_task(driver.run(build_schedule(self._plan)))
        finally:
            self._deployment.resume_all()
            for task in tasks:
                task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        for error in ended:
            if not isinstance(error, asyncio.CancelledError):
                raise RuntimeError('a caller stopped unexpectedly') from error

    def _callers(self, balancer: Balancer) -> list[Callable[[], Any]]:
        return [
            self._caller(number, balancer).run
            for number in range(self._plan.callers)
        ]

    def _caller(self, number: int, balancer: Balancer) -> Caller:
        groups, hosts = self._layout.groups, self._layout.hosts
        group = groups[number % len(groups)]
        host = hosts[number % len(hosts)]
        is_steady = number % _STEADY_CALLER_INTERVAL == 0
        return Caller(
            group,
            self._layout,
            FixedHost(host) if is_steady else balancer.of(host.data_centre),
            self._shared_states[group.name],
        )

    async def _check_group(self, group: GroupLayout) -> None:
        url = f'http://{LOOPBACK}:{group.control_port}/report'
        report = await get_json(url)
        shared = self._shared_states[group.name]
        counts = shared.counts
        counts['commits rolled back, not acknowledged by a host'] += (
            check_promotions(
                report['promotions'], shared.history, self._violations
            )
        )
        for found in report['violations']:
            if found['rule'] == _LOST:
                # ``check_promotions`` judges by what the callers were told.
                continue
            member_id, at_ms = found['member_id'], found['at_ms']
            detail = f'{member_id} at {at_ms}: {found["detail"]}'
            self._violations.add(found['rule'], '', [], detail)
        commit_counts = collections.Counter(
            commit['request_id'] for commit in report['commits']
        )
        shared.history.check_committed(commit_counts, self._violations)
        await self._check_unanswered(group)
        self._check_late(report['late_receipts'])
        counts['member promotions'] += report['counts'].get('promotions', 0)
        counts['connections refused'] += report['counts'].get('CONNLIMIT', 0)

    async def _check_unanswered(self, group: GroupLayout) -> None:
        shared = self._shared_states[group.name]
        ids = [request.request_id for request in shared.unanswered]
        found = await post_json(
            f'http://{LOOPBACK}:{group.control_port}/receipts',
            {'request_ids': ids},
        )
        received = {receipt['request_id'] for receipt in found['receipts']}
        shared.counts['unanswered'] += len(ids)
        shared.counts['unanswered and judged'] += self._unanswered_check.check(
            shared.unanswered, received
        )

    def _check_late(self, receipts: list[dict[str, Any]]) -> None:
        """Report new work at members that have drained for too long.

        With disruptions, hosts may not have known of the drain.
        """
        for receipt in receipts if self._plan.is_planned_only else ():
            detail = f'{receipt["member_id"]} for {receipt["draining_ms"]} ms'
            self._violations.add('DRAIN', '', [receipt['request_id']], detail)

    async def _check_promotions(self) -> None:
        report = await get_json(f'{self._layout.promotion_url}/report')
        for found in report['violations']:
            self._violations.add('ONE', '', [], found)

    def _check_logs(self) -> None:
        for host in self._layout.hosts:
            path = self._deployment.folder / f'{host.name}.log'
            for line in find_errors(path):
                detail = line[:_MAX_DETAIL_CHARS]
                self._violations.add('LOGGED', host.name, [], detail)

    def _counts(self) -> dict[str, int]:
        total: collections.Counter[str] = collections.Counter()
        for shared in self._shared_states.values():
            total.update(shared.counts)
            total['acknowledged writes'] += shared.history.acknowledged_count
        return dict(sorted(total.items()))
