"""Measures what the log lines of a statement cost on all hosts.

``python -m loadtool.log_cost`` alternates between the log levels INFO and
WARNING. Each round starts a deployment of 3 hosts and one group, runs the same
statements and prints, per statement, the processor time of the hosts and the
lines and bytes that they logged.
"""

import asyncio
import itertools
import json
import pathlib
import statistics
import sys
from collections.abc import Iterator
from typing import Final, final

import attrs
import fire

from loadtool.caller_client import CallerClient
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE
from loadtool.process_usage import ProcessUsage
from loadtool.request_factory import RequestFactory
from mimosapond.clock import MS_PER_S
from mimosapond.completed import Completed
from mimosapond.statement_request import StatementRequest

_LEVELS: Final = ('INFO', 'WARNING')
_HOST_COUNT: Final = 3
_WORKER_COUNT: Final = 4
# One statement in five is a write, as in the capacity series.
_STATEMENTS_PER_WRITE: Final = 5
_WARM_UP_COUNT: Final = 100


@final
@attrs.frozen
class LogCost:
    """Cost of one round per statement, summed over all hosts.

    Attributes
    ----------
    cpu_ms
        Processor time.
    line_count, line_bytes
        Number and total size of the log lines that name the statement.
    """

    cpu_ms: float
    line_count: float
    line_bytes: float


async def measure(level: str, count: int) -> LogCost:
    """Run ``count`` statements at a log level and return their mean cost.

    Raises
    ------
    RuntimeError
        A statement did not complete, so that the means would be wrong.
    """
    spec = attrs.evolve(
        FORGE,
        host_count=_HOST_COUNT,
        group_count=1,
        log_level=level,
    )
    async with Deployment(spec) as deployment, CallerClient() as client:
        requests = _build_requests(deployment, count + _WARM_UP_COUNT)
        await _run(deployment, client, requests[:_WARM_UP_COUNT])
        before_s = _cpu_s(deployment)
        await _run(deployment, client, requests[_WARM_UP_COUNT:])
        cpu_s = _cpu_s(deployment) - before_s
        measured_ids = {
            request.request_id for request in requests[_WARM_UP_COUNT:]
        }
        lines = _read_lines(deployment.processes.folder, measured_ids)
    return LogCost(
        cpu_ms=cpu_s * MS_PER_S / count,
        line_count=len(lines) / count,
        line_bytes=sum(map(len, lines)) / count,
    )


def _build_requests(
    deployment: Deployment,
    count: int,
) -> list[StatementRequest]:
    factory = RequestFactory(deployment.spec.service)
    workspace = deployment.workspaces[0]
    return [
        factory.count(workspace, f'row-{number}')
        if number % _STATEMENTS_PER_WRITE
        else factory.insert(workspace, f'row-{number}')
        for number in range(count)
    ]


async def _run(
    deployment: Deployment,
    client: CallerClient,
    requests: list[StatementRequest],
) -> None:
    remaining = iter(requests)
    hosts = itertools.cycle(deployment.hosts)
    workers = (_work(client, hosts, remaining) for _ in range(_WORKER_COUNT))
    await asyncio.gather(*workers)


async def _work(
    client: CallerClient,
    hosts: Iterator[DeployedHost],
    remaining: Iterator[StatementRequest],
) -> None:
    for request in remaining:
        outcome = await client.run(next(hosts).caller_address, request)
        if not isinstance(outcome, Completed):
            raise RuntimeError(f'a statement did not complete: {outcome}')


def _cpu_s(deployment: Deployment) -> float:
    children = deployment.processes.children
    return sum(
        ProcessUsage.read(children[host.name].process_id).cpu_s
        for host in deployment.hosts
    )


def _read_lines(folder: pathlib.Path, measured_ids: set[str]) -> list[bytes]:
    return [
        line
        for path in sorted(folder.glob('host-*.log'))
        for line in path.read_bytes().splitlines(keepends=True)
        if json.loads(line).get('request_id') in measured_ids
    ]


def run(count: int = 1500, rounds: int = 3) -> None:
    """Print the cost of each round, and the median cost of each level.

    Parameters
    ----------
    count
        Number of measured statements per round.
    rounds
        Number of rounds for each log level.
    """
    costs: dict[str, list[LogCost]] = {level: [] for level in _LEVELS}
    for _ in range(rounds):
        for level in _LEVELS:
            cost = asyncio.run(measure(level, count))
            costs[level].append(cost)
            _print(level, cost)
    for name, level_costs in costs.items():
        cpu_ms = statistics.median(
            round_cost.cpu_ms for round_cost in level_costs
        )
        _print(f'{name} median', attrs.evolve(level_costs[0], cpu_ms=cpu_ms))


def _print(name: str, cost: LogCost) -> None:
    sys.stdout.write(
        f'{name}: {cost.cpu_ms:.2f} ms of processor time, '
        f'{cost.line_count:.2f} lines and {cost.line_bytes:.0f} bytes '
        'per statement\n',
    )
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(run, name='log_cost')
