"""Adapter of the peer port that uses WebSocket links."""

from collections.abc import Mapping
from typing import Any, final

from mimosapond.address_translator import AddressTranslator
from mimosapond.link_cache import LinkCache
from mimosapond.peer_results import PeerResult
from mimosapond.secret_check import SECRET_HEADER


@final
class JsonPeers:
    """Calls other hosts over persistent WebSocket links."""

    def __init__(
        self,
        secret: str,
        connect_timeout_s: float,
        addresses: AddressTranslator,
    ) -> None:
        """Create the adapter without opening any link.

        Parameters
        ----------
        secret
            Sent to the peers, which require it.
        connect_timeout_s
            Timeout for opening a link.
        addresses
            Translates addresses before connecting.
        """
        self._links = LinkCache(
            '/peer',
            {SECRET_HEADER: secret},
            connect_timeout_s,
            addresses,
        )

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call ``operation`` at the peer listening on ``address``.

        With ``fresh``, the call is made on a new connection, because an open
        connection may have become stale without being closed.
        """
        return await self._links.call(
            address,
            operation,
            body,
            timeout_s,
            fresh=fresh,
        )

    def disconnect(self, address: str) -> None:
        """Close the link to ``address``, if there is one."""
        self._links.disconnect(address)

    def close(self) -> None:
        """Close all links."""
        self._links.close()
