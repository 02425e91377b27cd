"""One listener of the fault proxy and its open connections."""

import asyncio
from typing import final

from loguru import logger

from standins.fault_proxy_connection import ProxyConnection, Side, reset
from standins.fault_proxy_faults import LinkFaults
from standins.forwarded_bytes import ForwardedBytes


@final
class ProxyListener:
    """Forwards connections from one address to one target."""

    def __init__(self, name: str, listen: str, target: str) -> None:
        """Store the addresses (``ip:port``) without listening."""
        self.name = name
        self.faults = LinkFaults()
        self.forwarded = ForwardedBytes()
        self._listen = listen
        self._target = target
        self._connections: set[ProxyConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections, silent ones included."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen on the address and forward connections."""
        host, port = self._listen.rsplit(':', 1)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply_faults(self, faults: LinkFaults) -> None:
        """Apply faults to open and new connections."""
        self.faults = faults
        for connection in self._connections:
            connection.apply_faults(faults)
        if faults.cut:
            self.reset_connections()

    def silence_connections(self) -> None:
        """Silence the open connections permanently; new ones still work."""
        for connection in self._connections:
            connection.silence()

    def drop_targets(self) -> None:
        """Reset the target's side of the open connections.

        This is what a target does to connections of an unreachable client.
        The clients' sides become silent permanently.
        """
        for connection in self._connections:
            connection.drop_target()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for connection in self._connections:
            connection.reset()

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.create_task(self._serve((reader, writer)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, client: Side) -> None:
        host, port = self._target.rsplit(':', 1)
        if self.faults.cut:
            reset(client[1])
            return
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            logger.debug('{} does not answer', self._target)
            reset(client[1])
            return
        connection = ProxyConnection(
            client,
            target,
            self.faults,
            self.forwarded,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
