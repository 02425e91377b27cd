"""Open connections to other hosts, one in use for each host."""

import asyncio
from typing import Final, final

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mimosapond.address_resolver import AddressResolver
from mimosapond.boot_clock import Now
from mimosapond.entry.host_resources import default_resources
from mimosapond.entry.memory_lanes import MemoryLanes
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_link import LinkAnswer, LinkFailure, PeerLink

_CONNECT_TIMEOUT_S: Final = 0.15


@final
class PeerLinks:
    """Opens connections on demand and replaces those that fell silent."""

    def __init__(self, now: Now, lanes: MemoryLanes | None = None) -> None:
        """Start without connections.

        Parameters
        ----------
        lanes
            Memory for answers; by default, that of a host whose settings name
            none.
        """
        self._lanes = lanes or default_resources().answers
        self._now = now
        self._client = TCPClient(AddressResolver())
        self._links: dict[str, PeerLink] = {}
        self._connecting: dict[str, asyncio.Task[PeerLink | LinkFailure]] = {}

    async def call(
        self, peer: Peer, path: str, body: bytes, limit_s: float
    ) -> LinkAnswer:
        """Send a request to a peer and return its answer."""
        link = self._links.get(peer.address)
        if link is None or not link.is_usable:
            opened = await self._open(peer.address)
            if isinstance(opened, LinkFailure):
                return opened
            link = opened
        return await link.call(path, body, limit_s)

    async def _open(self, address: str) -> PeerLink | LinkFailure:
        """Open a connection, shared by all requests that wait for it."""
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(
                lambda _: self._connecting.pop(address, None)
            )
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> PeerLink | LinkFailure:
        ip, _, port = address.rpartition(':')
        try:
            stream = await self._client.connect(
                ip, int(port), timeout=_CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError, StreamClosedError) as error:
            return LinkFailure(f'connect: {error!r}', was_sent=False)
        link = PeerLink(stream, self._now, self._lanes)
        former = self._links.get(address)
        if former is not None and former.is_idle:
            former.close()
        self._links[address] = link
        return link
