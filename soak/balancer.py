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

    def choose(self, rng: random.Random) -> HostLayout:
        """Return a random ready host for a new caller."""
        hosts = self._layout.hosts
        ready = [
            host
            for host in hosts
            if self._misses[host.name] < _UNREADY_MISS_COUNT
        ]
        # If less than half of the hosts are ready, readiness is ignored.
        is_enough = len(ready) * 2 >= len(hosts)
        return rng.choice(ready if is_enough else hosts)

    async def _watch(self, host: HostLayout) -> None:
        while True:
            if await self._is_ready(host):
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
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
