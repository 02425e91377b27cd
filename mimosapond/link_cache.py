"""Keeps one open link per address and replaces closed links."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from typing import Any, final

from mimosapond.address_translator import AddressTranslator
from mimosapond.json_link import JsonLink
from mimosapond.peer_results import PeerResult, PeerUnavailable


@final
class LinkCache:
    """Opens links on first use; all calls to an address share one link."""

    def __init__(
        self,
        path: str,
        headers: Mapping[str, str],
        connect_timeout_s: float,
        addresses: AddressTranslator,
    ) -> None:
        """Create a cache without links.

        Parameters
        ----------
        path
            URL path of the WebSocket at each address.
        headers
            Headers of each upgrade request.
        connect_timeout_s
            Timeout for opening a link.
        addresses
            Translates addresses before connecting.
        """
        self._path = path
        self._headers = headers
        self._connect_timeout_s = connect_timeout_s
        self._addresses = addresses
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
        """Make a call on the link to ``address``.

        With ``fresh``, a new link is opened first; the previous link is closed
        after its pending calls have ended. ``PeerSilent`` is returned if a link
        can't be opened.
        """
        link = await self._link(address, timeout_s, fresh=fresh)
        if isinstance(link, PeerUnavailable):
            return link
        return await link.call(operation, body, timeout_s)

    def disconnect(self, address: str) -> None:
        """Close the link to ``address``, if there is one."""
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
    ) -> JsonLink | PeerUnavailable:
        async with self._locks[address]:
            link = self._links.get(address)
            if link is not None and link.is_open and not fresh:
                return link
            opened = await JsonLink.open(
                f'ws://{self._addresses.resolve(address)}{self._path}',
                self._headers,
                min(timeout_s, self._connect_timeout_s),
            )
            if isinstance(opened, JsonLink):
                self._replace(address, opened)
            return opened

    def _replace(self, address: str, opened: JsonLink) -> None:
        replaced = self._links.get(address)
        if replaced is not None:
            replaced.close_when_idle()
        self._links[address] = opened
