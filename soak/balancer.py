"""Load balancer that sends new callers to hosts that report ready."""

import asyncio
import collections
import random
from typing import Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from soak.layout import HostLayout, Layout

_PROBE_INTERVAL_S: Final = 1.0
_UNREADY_MISS_COUNT: Final = 2
_OK: Final = 200


@final
class FixedHost:
    """Sends a caller to one host, whether it is ready or not."""

    def __init__(self, host: HostLayout) -> None:
        """Choose the host."""
        self._host = host

    def choose(self, rng: random.Random) -> HostLayout:
        """Return the host."""
        return self._host


@final
class PlaceBalancer:
    """Sends the callers of one data centre to its hosts."""

    def __init__(self, balancer: 'Balancer', data_centre: str) -> None:
        """Use what ``balancer`` has probed."""
        self._balancer = balancer
        self._data_centre = data_centre

    def choose(self, rng: random.Random) -> HostLayout:
        """Return a host for a new caller."""
        return self._balancer.choose(rng, self._data_centre)


@final
class Balancer:
    """Probes each host once per second; two failed probes exclude it."""

    def __init__(self, layout: Layout) -> None:
        """Treat all hosts as ready until their first probe."""
        self._layout = layout
        self._misses: collections.Counter[str] = collections.Counter()
        self._client = AsyncHTTPClient(force_instance=True, max_clients=100)

    async def run(self) -> None:
        """Probe the hosts until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for host in self._layout.hosts:
                tasks.create_task(self._watch(host))

    def of(self, data_centre: str) -> PlaceBalancer:
        """Return the choice of hosts for callers of a data centre."""
        return PlaceBalancer(self, data_centre)

    def choose(self, rng: random.Random, data_centre: str) -> HostLayout:
        """Return a random ready host of a data centre for a new caller.

        If fewer than half of its hosts are ready, all of them are used; if none
        is ready, the hosts of the other data centres are.
        """
        hosts = self._layout.hosts
        near = [host for host in hosts if host.data_centre == data_centre]
        ready = [host for host in near if self._is_in_rotation(host)]
        if ready:
            is_enough = len(ready) * 2 >= len(near)
            return rng.choice(ready if is_enough else near)
        others = [host for host in hosts if self._is_in_rotation(host)]
        return rng.choice(others or hosts)

    def note_miss(self, host: HostLayout) -> None:
        """Record a failed probe."""
        self._misses[host.name] += 1

    def _is_in_rotation(self, host: HostLayout) -> bool:
        return self._misses[host.name] < _UNREADY_MISS_COUNT

    async def _watch(self, host: HostLayout) -> None:
        while True:
            if await self._is_ready(host):
                self._misses[host.name] = 0
            else:
                self.note_miss(host)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _is_ready(self, host: HostLayout) -> bool:
        url = f'http://{host.ip}:{self._layout.ready_port}/api/ready'
        try:
            found = await self._client.fetch(
                url, raise_error=False, request_timeout=_PROBE_INTERVAL_S
            )
        except (OSError, HTTPClientError):
            return False
        return found.code == _OK
