"""Sends new callers to hosts that answer the ready question."""

import asyncio
import collections
import random
from typing import Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from soak.layout import HostPlace, Layout

_PERIOD_S: Final = 1.0
_MISS_COUNT: Final = 2
_OK: Final = 200


@final
class Balancer:
    """Asks each host once per second; two misses take it out."""

    def __init__(self, layout: Layout) -> None:
        """Start with all hosts in rotation."""
        self._layout = layout
        self._misses: collections.Counter[str] = collections.Counter()
        self._client = AsyncHTTPClient(force_instance=True, max_clients=100)

    async def run(self) -> None:
        """Go on until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for host in self._layout.hosts:
                tasks.create_task(self._watch(host))

    def choose(self, source: random.Random) -> HostPlace:
        """Return a host for a new caller."""
        hosts = self._layout.hosts
        ready = [
            host for host in hosts if self._misses[host.name] < _MISS_COUNT
        ]
        # With less than half of the hosts ready, all of them are used.
        is_enough = len(ready) * 2 >= len(hosts)
        return source.choice(ready if is_enough else hosts)

    async def _watch(self, host: HostPlace) -> None:
        while True:
            if await self._is_ready(host):
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
            await asyncio.sleep(_PERIOD_S)

    async def _is_ready(self, host: HostPlace) -> bool:
        url = f'http://{host.ip}:{self._layout.ready_port}/api/ready'
        try:
            found = await self._client.fetch(
                url, raise_error=False, request_timeout=_PERIOD_S
            )
        except (OSError, HTTPClientError):
            return False
        return found.code == _OK
