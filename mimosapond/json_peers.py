"""Adapter of the peer port: one kept link per peer address."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from typing import Any, final

from mimosapond.json_link import JsonLink
from mimosapond.json_link_server import SECRET_HEADER
from mimosapond.peer_results import PeerResult, PeerSilent


@final
class JsonPeers:
    """Opens links on first use and replaces those that closed."""

    def __init__(self, secret: str, connect_timeout_s: float) -> None:
        """Take the secret that peers require."""
        self._headers = {SECRET_HEADER: secret}
        self._connect_timeout_s = connect_timeout_s
        self._links: dict[str, JsonLink] = {}
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call ``operation`` at the peer listening on ``address``."""
        link = await self._link(address, timeout_s, fresh=fresh)
        if isinstance(link, PeerSilent):
            return link
        return await link.call(operation, body, timeout_s)

    def disconnect(self, address: str) -> None:
        """Close the kept connection to ``address``."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all links."""
        for address in tuple(self._links):
            self.disconnect(address)

    async def _link(
        self,
        address: str,
        timeout_s: float,
        *,
        fresh: bool,
    ) -> JsonLink | PeerSilent:
        async with self._locks[address]:
            link = self._links.get(address)
            if link is not None and link.is_open and not fresh:
                return link
            opened = await JsonLink.open(
                f'ws://{address}/peer',
                self._headers,
                min(timeout_s, self._connect_timeout_s),
            )
            if isinstance(opened, JsonLink):
                if link is not None:
                    link.retire()
                self._links[address] = opened
            return opened
