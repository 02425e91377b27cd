"""Stand-ins that run on loopback ports in the process of the tests."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Coroutine
from typing import Any, Final, TypeVar, final

from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from mimosapond.json_link import JsonLink
from mimosapond.peer_results import PeerResult
from standins.fault_proxy_listener import ProxyListener
from standins.member_application import MemberApplication
from standins.member_settings import MemberSettings
from standins.platform import build_server
from standins.platform_state import PlatformState
from standins.processes import free_addresses

# Exceeds any delay of a loaded machine; no result depends on it.
TIMEOUT_S: Final = 60.0
TIMEOUT_MS: Final = 60_000
_Answer = TypeVar('_Answer')


@final
class _EchoProtocol(asyncio.Protocol):
    """Sends every byte back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Send the received bytes back."""
        self._transport.write(received)


@final
class StandinRig:
    """One event loop with members, platform, proxy and connections.

    Attributes
    ----------
    addresses
        ``ip:port`` of the members by name.
    links
        Open connections by name, ``member`` or ``member/connection``.
    """

    def __init__(self) -> None:
        """Start with an event loop and no stand-ins."""
        # Refusals are expected here and would clutter the test output.
        logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
        self.addresses: dict[str, str] = {}
        self.links: dict[str, JsonLink] = {}
        self._runner = asyncio.Runner()
        self._exits = contextlib.AsyncExitStack()

    def run(self, work: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run a coroutine in the loop of the rig."""
        return self._runner.run(work)

    def start(self, work: Coroutine[Any, Any, _Answer]) -> Any:
        """Create a task and return it; it proceeds during calls of ``run``."""
        return self._runner.get_loop().create_task(work)

    def close(self) -> None:
        """Close all connections and stop all stand-ins."""
        for link in self.links.values():
            link.close()
        self.run(self._exits.aclose())
        self._runner.close()

    async def start_group(self, names: list[str], **options: Any) -> None:
        """Start members; the first one is the primary of term 1."""
        self.addresses = dict(
            zip(names, free_addresses(len(names)), strict=True),
        )
        for name, address in self.addresses.items():
            peers = set(self.addresses.values()) - {address}
            member = MemberApplication(
                MemberSettings(
                    name=name,
                    group='forge-a',
                    address=address,
                    peers=tuple(peers),
                    schema=('CREATE TABLE tally (id TEXT PRIMARY KEY)',),
                    primary=name == names[0],
                    **{'silence_limit_ms': TIMEOUT_MS, **options},
                ),
            )
            member.start()
            self._exits.push_async_callback(member.stop)

    async def open(self, member: str, endpoint: str) -> JsonLink:
        """Open a connection to an endpoint, ``control`` or ``data``."""
        url = f'ws://{self.addresses[member]}/{endpoint}'
        link = await JsonLink.open(url, {}, TIMEOUT_S)
        assert isinstance(link, JsonLink), link
        return link

    async def call(self, link_name: str, op: str, **body: Any) -> PeerResult:
        """Make a call on a named connection, which is opened on first use.

        Parameters
        ----------
        link_name
            ``member`` for the control connection of a member, or
            ``member/connection`` for one of its data connections.
        """
        if link_name not in self.links:
            member, _, connection = link_name.partition('/')
            endpoint = 'data' if connection else 'control'
            self.links[link_name] = await self.open(member, endpoint)
        return await self.links[link_name].call(op, body, TIMEOUT_S)

    async def fetch(
        self,
        address: str,
        path: str,
        method: str = 'GET',
        body: Any = None,
        timeout_s: float = TIMEOUT_S,
    ) -> HTTPResponse:
        """Make an HTTP request; no status raises an error."""
        return await AsyncHTTPClient().fetch(
            f'http://{address}{path}',
            raise_error=False,
            method=method,
            body=None if body is None else json.dumps(body),
            request_timeout=timeout_s,
        )

    async def start_platform(self) -> str:
        """Start the platform and return its address (``ip:port``)."""
        address = free_addresses(1)[0]
        server = build_server(PlatformState())
        host, port = address.split(':')
        server.listen(int(port), host)
        self._exits.callback(server.stop)
        return address

    async def start_echo(self) -> str:
        """Start an echo server and return its address (``ip:port``)."""
        address = free_addresses(1)[0]
        host, port = address.split(':')
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_EchoProtocol, host, int(port))
        self._exits.callback(server.close)
        return address

    async def start_proxy(self, target: str) -> tuple[ProxyListener, str]:
        """Start a proxy to ``target``; return it and its address."""
        listen = free_addresses(1)[0]
        proxy = ProxyListener('link', listen, target)
        await proxy.start()
        self._exits.push_async_callback(proxy.stop)
        return proxy, listen
