"""A steady stream of writes and reads through all hosts of a deployment."""

import asyncio
import itertools
from typing import Any, Final, final

from features.live_world import LiveWorld
from loadtool.deployed_host import DeployedHost
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome

_INTERVAL_S: Final = 0.02
_SESSION_COUNT: Final = 7
_READ: Final = 'SELECT count(*) FROM orders'


@final
class LiveStream:
    """Sends a write and a read per interval and keeps their outcomes."""

    def __init__(self, world: LiveWorld, **write_fields: Any) -> None:
        """Start sending; ``write_fields`` are set on each write."""
        self._world = world
        self._write_fields = write_fields
        self._hosts: list[DeployedHost] = list(world.hosts)
        self._calls: list[asyncio.Task[Outcome]] = []
        self._task = world.loop.create_task(self._run())

    def avoid(self, host: DeployedHost) -> None:
        """Send new requests through the other hosts only."""
        self._hosts = [other for other in self._hosts if other != host]

    def add(self, host: DeployedHost, sql: str) -> None:
        """Send one more read through ``host``."""
        self._send(host, self._world.read(sql))

    def finish(self) -> list[Outcome]:
        """Stop sending, wait for all outcomes and return them."""
        self._task.cancel()
        return self._world.run(self._gather())

    def failures(self) -> list[Outcome]:
        """Stop sending and return the outcomes that are not completed."""
        outcomes = self.finish()
        assert outcomes, 'the stream sent nothing'
        return [
            outcome
            for outcome in outcomes
            if not isinstance(outcome, Completed)
        ]

    async def _gather(self) -> list[Outcome]:
        return list(await asyncio.gather(*self._calls))

    async def _run(self) -> None:
        for number in itertools.count():
            host = self._hosts[number % len(self._hosts)]
            session_id = f'clerk-{number % _SESSION_COUNT}'
            self._send(
                host,
                self._world.insert(
                    f'row-{number}',
                    session_id=session_id,
                    **self._write_fields,
                ),
            )
            self._send(host, self._world.read(_READ, session_id=session_id))
            await asyncio.sleep(_INTERVAL_S)

    def _send(self, host: DeployedHost, request: Any) -> None:
        call = self._world.loop.create_task(self._world.post(host, request))
        self._calls.append(call)
