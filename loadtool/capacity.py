"""Measures how the load of hosts grows, for docs/CAPACITY.md.

``python -m loadtool.capacity NAME`` measures one series. A series varies one
size: ``groups``, ``hosts``, ``clients``, ``rate`` (statements per second) or
``documents``. The series ``fleet`` varies the groups like ``groups``, but with
the intervals that suit a large fleet. For each size, a deployment of real
processes is started and left to settle. Processor time and memory of the hosts
are then read from ``/proc``. Series without client load also read the bytes of
the links from the fault proxy.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import aiohttp
import attrs
import fire

from loadtool.capacity_load import IdleConnections, SteadyLoad
from loadtool.capacity_point import CapacityPoint
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE, DeploymentSpec
from loadtool.linear_fit import LinearFit
from loadtool.process_usage import ProcessUsage
from mimosapond.document_body import document_body

SETTLE_S: Final = 3
# Long enough for hosts to push and poll the documents after the last edit.
DOCUMENT_SETTLE_S: Final = 12
WINDOW_S: Final = 8
# Intervals that keep control traffic within 3 KB/s at 420 hosts.
FLEET_SETTINGS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'beacon_interval_ms': 2000,
        'suspect_after_ms': 3000,
        'probe_interval_ms': 1000,
        'platform_poll_interval_ms': 5000,
    },
)
_BYTES_PER_MB: Final = 1_000_000
_PERCENT: Final = 100

_PointMeasure: TypeAlias = Callable[[int], Awaitable[CapacityPoint]]


async def _read_usage(deployment: Deployment) -> list[ProcessUsage]:
    children = deployment.processes.children
    return [
        ProcessUsage.read(children[host.name].process_id)
        for host in deployment.hosts
    ]


async def _link_bytes(deployment: Deployment) -> int:
    """Return the payload bytes of all links that hosts opened, both ways."""
    url = f'http://{deployment.proxy_admin_address}/faults'
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as answer:
            links: Mapping[str, Mapping[str, Any]] = await answer.json()
    return sum(
        link['to_target_bytes'] + link['to_client_bytes']
        for name, link in links.items()
        if name.startswith('host-')
    )


async def _measure_window(
    deployment: Deployment,
    size: int,
    *,
    counts_links: bool,
    settle_s: float = SETTLE_S,
) -> CapacityPoint:
    """Measure the hosts over one window, ``settle_s`` after the call.

    Parameters
    ----------
    size
        Size that the series varies, for the result.
    counts_links
        Whether to count the bytes of links; needs a proxied deployment.
    """
    await asyncio.sleep(settle_s)
    started_s = time.monotonic()
    before = await _read_usage(deployment)
    bytes_before = await _link_bytes(deployment) if counts_links else 0
    await asyncio.sleep(WINDOW_S)
    after = await _read_usage(deployment)
    bytes_after = await _link_bytes(deployment) if counts_links else 0
    window_s = time.monotonic() - started_s
    host_count = len(deployment.hosts)
    cpu_s = sum(usage.cpu_s for usage in after) - sum(
        usage.cpu_s for usage in before
    )
    resident_bytes = max(usage.resident_bytes for usage in after)
    return CapacityPoint(
        size=size,
        core_percent=cpu_s / window_s / host_count * _PERCENT,
        resident_mb=resident_bytes / _BYTES_PER_MB,
        # Both the sender and the receiver of a byte spend resources on it, so
        # both directions of a link count.
        link_bytes_per_s=(bytes_after - bytes_before) / window_s / host_count,
    )


async def _measure_idle(spec: DeploymentSpec, size: int) -> CapacityPoint:
    async with Deployment(spec, is_proxied=True) as deployment:
        return await _measure_window(deployment, size, counts_links=True)


async def _measure_groups(count: int) -> CapacityPoint:
    spec = attrs.evolve(FORGE, host_count=3, group_count=count)
    return await _measure_idle(spec, count)


async def _measure_fleet(count: int) -> CapacityPoint:
    spec = attrs.evolve(
        FORGE,
        host_count=3,
        group_count=count,
        host_settings=FLEET_SETTINGS,
    )
    return await _measure_idle(spec, count)


async def _measure_hosts(count: int) -> CapacityPoint:
    spec = attrs.evolve(FORGE, host_count=count, group_count=3)
    return await _measure_idle(spec, count)


async def _measure_clients(count: int) -> CapacityPoint:
    spec = attrs.evolve(
        FORGE,
        host_count=1,
        group_count=1,
        host_settings={'caller_connection_limit_count': 2 * count},
    )
    async with Deployment(spec) as deployment:
        async with IdleConnections(deployment.hosts[0].caller_address, count):
            return await _measure_window(deployment, count, counts_links=False)


async def _measure_rate(per_s: int) -> CapacityPoint:
    spec = attrs.evolve(FORGE, host_count=3, group_count=3)
    async with Deployment(spec) as deployment:
        async with SteadyLoad(deployment, per_s) as load:
            point = await _measure_window(deployment, per_s, counts_links=False)
            return attrs.evolve(point, completed_per_s=load.completed_per_s())


async def _measure_documents(count: int) -> CapacityPoint:
    spec = attrs.evolve(FORGE, host_count=3, group_count=1)
    async with Deployment(spec, is_proxied=True) as deployment:
        await _apply_documents(deployment, count)
        return await _measure_window(
            deployment,
            count,
            counts_links=True,
            settle_s=DOCUMENT_SETTLE_S,
        )


async def _apply_documents(deployment: Deployment, count: int) -> None:
    base = document_body(deployment.document)
    for number in range(count):
        name = f'extra-{number}'
        # Each document names the same groups, so that it adds only its own
        # state.
        body = {**base, 'service': name}
        answer = await deployment.operate(
            deployment.hosts[number % len(deployment.hosts)],
            'PUT',
            f'/v1/documents/{name}',
            {'expected_revision': 0, 'document': body},
        )
        if 'revision' not in answer:
            raise RuntimeError(f'document {name} was not accepted: {answer}')


_MEASURES: Final[Mapping[str, _PointMeasure]] = MappingProxyType(
    {
        'groups': _measure_groups,
        'fleet': _measure_fleet,
        'hosts': _measure_hosts,
        'clients': _measure_clients,
        'rate': _measure_rate,
        'documents': _measure_documents,
    }
)
_SIZES: Final[Mapping[str, Sequence[int]]] = MappingProxyType(
    {
        'groups': (3, 10, 20, 30),
        'fleet': (3, 10, 20, 30),
        'hosts': (4, 8, 16, 32),
        'clients': (100, 500, 2000, 5000),
        'rate': (50, 100, 200, 300, 400),
        'documents': (10, 50, 200, 500),
    }
)


def _print_fits(points: Sequence[CapacityPoint]) -> None:
    for field in ('core_percent', 'resident_mb', 'link_bytes_per_s'):
        fit = LinearFit.of(
            [(point.size, getattr(point, field)) for point in points],
        )
        sys.stdout.write(
            f'{field} = {fit.intercept:.4g} + {fit.slope:.4g} * size, '
            f'largest error {fit.error_ratio:.1%}\n',
        )


async def _run(name: str, sizes: Sequence[int]) -> None:
    measure = _MEASURES[name]
    points: list[CapacityPoint] = []
    for size in sizes:
        points.append(await measure(size))
        sys.stdout.write(f'{points[-1]}\n')
        sys.stdout.flush()
    _print_fits(points)


def run(name: str, sizes: Sequence[int] = ()) -> None:
    """Measure one series and print its points and linear fits.

    Parameters
    ----------
    name
        One of ``groups``, ``fleet``, ``hosts``, ``clients``, ``rate`` and
        ``documents``.
    sizes
        Sizes to measure instead of the default sizes of the series.
    """
    asyncio.run(_run(name, sizes or _SIZES[name]))


if __name__ == '__main__':
    fire.Fire(run)
