"""Adapter of the peer port."""

from collections.abc import Mapping
from typing import Any, final

from mimosapond.address_translator import AddressTranslator
from mimosapond.link_cache import LinkCache
from mimosapond.peer_results import PeerResult
from mimosapond.secret_check import SECRET_HEADER


@final
class JsonPeers:
    """Calls peers over kept WebSocket links."""

    def __init__(
        self,
        secret: str,
        connect_timeout_s: float,
        addresses: AddressTranslator,
    ) -> None:
        """Take the secret that peers require."""
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
        """Call ``operation`` at the peer listening on ``address``."""
        return await self._links.call(
            address,
            operation,
            body,
            timeout_s,
            fresh=fresh,
        )

    def disconnect(self, address: str) -> None:
        """Close the kept connection to ``address``."""
        self._links.disconnect(address)

    def close(self) -> None:
        """Close all links."""
        self._links.close()
