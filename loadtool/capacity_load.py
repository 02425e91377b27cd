"""Client loads for capacity series."""

import asyncio
import itertools
import time
from typing import Final, Self, final

from loadtool.caller_client import CallerClient
from loadtool.deployment import Deployment
from loadtool.request_factory import RequestFactory
from mimosapond.completed import Completed
from mimosapond.statement_request import StatementRequest

_WRITE_SHARE: Final = 5
_REQUEST: Final = (
    b'POST /v1/statements HTTP/1.1\r\nHost: mimosapond\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)


@final
class IdleClients:
    """Connections that made one request and stay open."""

    def __init__(self, address: str, count: int) -> None:
        """Connect to the callers' listener at ``address``."""
        self._address = address
        self._count = count
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        """Open the connections one by one."""
        for _ in range(self._count):
            await self._open()
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close the connections."""
        for writer in self._writers:
            writer.close()

    async def _open(self) -> None:
        host, port = self._address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, port)
        self._writers.append(writer)
        writer.write(_REQUEST)
        if not await reader.readline():
            raise ConnectionError('the host closed the connection')


@final
class SteadyLoad:
    """Open-loop load: one write in five statements, the rest reads."""

    def __init__(self, deployment: Deployment, per_s: int) -> None:
        """Spread the load over all hosts and groups."""
        self._deployment = deployment
        self._interval_s = 1 / per_s
        self._client = CallerClient()
        self._requests = RequestFactory(deployment.spec.service)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._completed_count = 0
        self._started_s = time.monotonic()
        self._driver: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the load."""
        self._driver = asyncio.create_task(self._drive())
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop the load and drop what is open."""
        if self._driver is not None:
            self._driver.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def completed_per_s(self) -> float:
        """Return the rate of completed statements since the start."""
        return self._completed_count / (time.monotonic() - self._started_s)

    async def _drive(self) -> None:
        due_s = time.monotonic()
        while True:
            task = asyncio.create_task(self._send(next(self._numbers)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += self._interval_s
            await asyncio.sleep(due_s - time.monotonic())

    async def _send(self, number: int) -> None:
        hosts = self._deployment.hosts
        address = hosts[number % len(hosts)].caller_address
        outcome = await self._client.run(address, self._request(number))
        if isinstance(outcome, Completed):
            self._completed_count += 1

    def _request(self, number: int) -> StatementRequest:
        workspaces = self._deployment.workspaces
        workspace = workspaces[number % len(workspaces)]
        row_id = f'row-{number}'
        if number % _WRITE_SHARE:
            return self._requests.count(workspace, row_id)
        return self._requests.insert(workspace, row_id)
