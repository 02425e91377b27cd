"""Measures what a statement costs beyond a direct call of the member.

For latency, the same read alternates between a direct call of a member and a
request through an entry host, each over one open connection. Throughput and CPU
time are measured while closed-loop callers saturate one host.
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
    """Processor time used so far.

    Attributes
    ----------
    taken_s
        Monotonic time of the reading.
    all_hosts_cpu_s, host_cpu_s, load_cpu_s
        Processor time of all hosts, of the saturated host and of this process.
    """

    taken_s: float
    all_hosts_cpu_s: float
    host_cpu_s: float
    load_cpu_s: float

    def since(self, earlier: '_CpuReading') -> '_CpuReading':
        """Return the time and the processor time since an earlier reading."""
        return _CpuReading(
            self.taken_s - earlier.taken_s,
            self.all_hosts_cpu_s - earlier.all_hosts_cpu_s,
            self.host_cpu_s - earlier.host_cpu_s,
            self.load_cpu_s - earlier.load_cpu_s,
        )


@final
class OverheadMeasure:
    """Measures latency, CPU time and throughput of small reads."""

    def __init__(self, source: LoadSource) -> None:
        """Use the first host and the third group of a started deployment."""
        self._source = source
        self._host = source.deployment.hosts[0]
        self._direct = LatencyHistogram()
        self._via_host = LatencyHistogram()
        self._completed_count = 0

    async def run(self) -> dict[str, float]:
        """Return added latency, CPU time per statement and throughput.

        The CPU time of idle hosts is subtracted from that of a statement.

        Raises
        ------
        RuntimeError
            The member is unreachable, or a read of the latency comparison
            failed.
        """
        await self._compare_latencies()
        idle = await self._measure_idle()
        before = self._read_cpu()
        await run_closed_loop(self._send_read, _WORKER_COUNT, _SATURATED_S)
        saturated = self._read_cpu().since(before)
        idle_cpu_s = idle.all_hosts_cpu_s / idle.taken_s * saturated.taken_s
        statement_cpu_s = (
            saturated.all_hosts_cpu_s - idle_cpu_s
        ) / self._completed_count
        added = {
            f'added_latency_p{percentile:.0f}_ms': (
                self._via_host.percentile_ms(percentile)
                - self._direct.percentile_ms(percentile)
            )
            for percentile in (_P50, _P99)
        }
        return {
            **added,
            'direct_latency_p50_ms': self._direct.percentile_ms(_P50),
            'cpu_per_statement_us': statement_cpu_s * _US_PER_S,
            'statements_per_second_per_host': self._completed_count
            / saturated.taken_s,
            'saturated_host_cpu_ratio': saturated.host_cpu_s
            / saturated.taken_s,
            'load_process_cpu_ratio': saturated.load_cpu_s / saturated.taken_s,
            'idle_cpu_per_host_ratio': idle.all_hosts_cpu_s
            / idle.taken_s
            / len(self._source.deployment.hosts),
        }

    async def _compare_latencies(self) -> None:
        member = (await self._source.replicas(_GROUP_INDEX))[0]
        target = WebsocketTarget(_TIMEOUT_S, AddressTranslator(()))
        connection = await target.connect(member, _TIMEOUT_S)
        if isinstance(connection, TargetSilent):
            raise RuntimeError(f'member {member.name} is unreachable')
        try:
            for number in range(_READ_COUNT + _WARM_UP_COUNT):
                await self._read_both_ways(
                    connection, is_counted=number >= _WARM_UP_COUNT
                )
        finally:
            connection.close()
            target.close()

    async def _read_both_ways(
        self, connection: TargetConnection, *, is_counted: bool
    ) -> None:
        started_s = time.perf_counter()
        answer = await connection.read((_READ,), _TIMEOUT_S)
        direct_s = time.perf_counter() - started_s
        request = self._request(_GROUP_INDEX)
        started_s = time.perf_counter()
        outcome = await self._run(request)
        via_host_s = time.perf_counter() - started_s
        is_complete = isinstance(answer, TargetAnswered)
        if not is_complete or not isinstance(outcome, Completed):
            raise RuntimeError(
                f'a read failed: direct {answer}, through a host {outcome}'
            )
        if is_counted:
            self._direct.record(direct_s)
            self._via_host.record(via_host_s)

    async def _measure_idle(self) -> _CpuReading:
        before = self._read_cpu()
        await asyncio.sleep(_IDLE_S)
        return self._read_cpu().since(before)

    async def _send_read(self) -> None:
        groups = self._source.deployment.groups
        index = self._source.randomness.randrange(len(groups))
        outcome = await self._run(self._request(index))
        self._completed_count += isinstance(outcome, Completed)

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

    def _read_cpu(self) -> _CpuReading:
        children = self._source.deployment.processes.children
        cpu_by_host_s = {
            host.name: read_cpu_s(children[host.name].process_id)
            for host in self._source.deployment.hosts
        }
        return _CpuReading(
            time.monotonic(),
            sum(cpu_by_host_s.values()),
            cpu_by_host_s[self._host.name],
            time.process_time(),
        )
