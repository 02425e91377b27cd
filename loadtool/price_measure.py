"""What a statement costs beyond calling the member itself.

Reads of the same text go to a member over one kept connection and, in turn,
through an entry host over one kept connection. Throughput and CPU are taken
while one host is saturated by closed-loop callers.
"""

import asyncio
import time
from typing import Final, final

import attrs

from loadtool.cpu_time import read_cpu_s
from loadtool.latency_histogram import LatencyHistogram
from loadtool.load_source import LoadSource
from loadtool.open_loop import run_closed_loop
from mimosapond.access_mode import AccessMode
from mimosapond.address_translator import AddressTranslator
from mimosapond.completed import Completed
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import TargetAnswered, TargetSilent
from mimosapond.websocket_target import WebsocketTarget
from mimosapond.work_class import WorkClass

_GROUP_INDEX: Final = 2
_READ_COUNT: Final = 300
_WARM_UP_COUNT: Final = 30
_WORKER_COUNT: Final = 32
_SATURATED_S: Final = 3
_IDLE_S: Final = 2
_TIMEOUT_S: Final = 5
_DEADLINE_MS: Final = 5000
_P50: Final = 50.0
_P99: Final = 99.0
_US_PER_S: Final = 1_000_000
_READ: Final = Statement('SELECT count(*) FROM orders WHERE id = ?', ('none',))


@final
@attrs.frozen
class _CpuReading:
    moment_s: float
    all_hosts_s: float
    host_s: float
    load_s: float

    def since(self, earlier: '_CpuReading') -> '_CpuReading':
        """Return the difference to an earlier reading."""
        return _CpuReading(
            self.moment_s - earlier.moment_s,
            self.all_hosts_s - earlier.all_hosts_s,
            self.host_s - earlier.host_s,
            self.load_s - earlier.load_s,
        )


@final
class PriceMeasure:
    """Latency, CPU and throughput of small reads."""

    def __init__(self, source: LoadSource) -> None:
        """Use the first host and the third group of a deployment."""
        self._source = source
        self._host = source.deployment.hosts[0]
        self._direct = LatencyHistogram()
        self._through = LatencyHistogram()
        self._done_count = 0

    async def run(self) -> dict[str, float]:
        """Return added latency, CPU per statement and throughput."""
        await self._compare()
        idle = await self._idle()
        before = self._cpu()
        await run_closed_loop(self._saturate, _WORKER_COUNT, _SATURATED_S)
        used = self._cpu().since(before)
        idle_s = idle.all_hosts_s / idle.moment_s * used.moment_s
        cost_s = (used.all_hosts_s - idle_s) / self._done_count
        added = {
            f'added_latency_p{percentile:.0f}_ms': (
                self._through.percentile_ms(percentile)
                - self._direct.percentile_ms(percentile)
            )
            for percentile in (_P50, _P99)
        }
        return {
            **added,
            'direct_latency_p50_ms': self._direct.percentile_ms(_P50),
            'cpu_per_statement_us': cost_s * _US_PER_S,
            'statements_per_second_per_host': self._done_count / used.moment_s,
            'saturated_host_cpu_ratio': used.host_s / used.moment_s,
            'load_process_cpu_ratio': used.load_s / used.moment_s,
            'idle_cpu_per_host_ratio': idle.all_hosts_s
            / idle.moment_s
            / len(self._source.deployment.hosts),
        }

    async def _compare(self) -> None:
        member = (await self._source.replicas(_GROUP_INDEX))[0]
        target = WebsocketTarget(_TIMEOUT_S, AddressTranslator(()))
        connection = await target.connect(member, _TIMEOUT_S)
        if isinstance(connection, TargetSilent):
            raise RuntimeError(f'{member.name} is not reachable')
        try:
            for number in range(_READ_COUNT + _WARM_UP_COUNT):
                await self._pair(
                    connection, is_counted=number >= _WARM_UP_COUNT
                )
        finally:
            connection.close()
            target.close()

    async def _pair(
        self, connection: TargetConnection, *, is_counted: bool
    ) -> None:
        begun_s = time.perf_counter()
        answer = await connection.read((_READ,), _TIMEOUT_S)
        direct_s = time.perf_counter() - begun_s
        request = self._request(_GROUP_INDEX)
        begun_s = time.perf_counter()
        outcome = await self._run(request)
        through_s = time.perf_counter() - begun_s
        is_complete = isinstance(answer, TargetAnswered)
        if not is_complete or not isinstance(outcome, Completed):
            raise RuntimeError(f'a read failed: {answer} {outcome}')
        if is_counted:
            self._direct.record(direct_s)
            self._through.record(through_s)

    async def _idle(self) -> _CpuReading:
        before = self._cpu()
        await asyncio.sleep(_IDLE_S)
        return self._cpu().since(before)

    async def _saturate(self) -> None:
        groups = self._source.deployment.groups
        index = self._source.randomness.randrange(len(groups))
        outcome = await self._run(self._request(index))
        self._done_count += isinstance(outcome, Completed)

    async def _run(self, request: StatementRequest) -> object:
        return await self._source.client.run(self._host.caller_address, request)

    def _request(self, group_index: int) -> StatementRequest:
        return self._source.requests.build(
            self._source.deployment.workspaces[group_index],
            AccessMode.READ,
            _READ,
            work_class=WorkClass.INTERACTIVE,
            deadline_ms=_DEADLINE_MS,
        )

    def _cpu(self) -> _CpuReading:
        children = self._source.deployment.processes.children
        used_s = {
            host.name: read_cpu_s(children[host.name].process_id)
            for host in self._source.deployment.hosts
        }
        return _CpuReading(
            time.monotonic(),
            sum(used_s.values()),
            used_s[self._host.name],
            time.process_time(),
        )
