"""Client loads for the capacity series."""

import asyncio
import itertools
import time
from typing import Final, Self, final

from loadtool.caller_client import CallerClient
from loadtool.deployment import Deployment
from loadtool.request_factory import RequestFactory
from mimosapond.completed import Completed
from mimosapond.statement_request import StatementRequest

# One statement in five is a write.
_STATEMENTS_PER_WRITE: Final = 5
_REQUEST: Final = (
    b'POST /v1/statements HTTP/1.1\r\nHost: mimosapond\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)


@final
class IdleConnections:
    """Client connections that send one request each and then stay open."""

    def __init__(self, address: str, count: int) -> None:
        """Prepare ``count`` connections to the caller address ``address``."""
        self._address = address
        self._count = count
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        """Open the connections one after the other.

        Raises
        ------
        ConnectionError
            The host closed a connection without an answer.
        """
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
            raise ConnectionError(
                'the host closed the connection without an answer'
            )


@final
class SteadyLoad:
    """Open-loop load of reads and writes at a constant rate.

    One statement in five is a write. A statement starts at its scheduled time,
    even if earlier ones have not ended.
    """

    def __init__(self, deployment: Deployment, per_s: int) -> None:
        """Send ``per_s`` statements per second, over all hosts and groups."""
        self._deployment = deployment
        self._interval_s = 1 / per_s
        self._client = CallerClient()
        self._requests = RequestFactory(deployment.spec.service)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._completed_count = 0
        self._started_s = time.monotonic()
        self._load_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the load."""
        self._load_task = asyncio.create_task(self._run_load())
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop the load and cancel the statements in flight."""
        if self._load_task is not None:
            self._load_task.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def completed_per_s(self) -> float:
        """Return the completed statements per second since construction."""
        return self._completed_count / (time.monotonic() - self._started_s)

    async def _run_load(self) -> None:
        next_send_s = time.monotonic()
        while True:
            task = asyncio.create_task(self._send(next(self._numbers)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_send_s += self._interval_s
            await asyncio.sleep(next_send_s - time.monotonic())

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
        if number % _STATEMENTS_PER_WRITE:
            return self._requests.count(workspace, row_id)
        return self._requests.insert(workspace, row_id)
