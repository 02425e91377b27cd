"""Peer port of one instance on the in-memory network."""

from collections.abc import Mapping
from typing import Any, final

from loadtool.memory_network import MemoryNetwork
from mimosapond.peer_results import PeerResult


@final
class MemoryPeers:
    """Peer port whose calls pass through a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        """Call from ``address``, the address of the instance itself."""
        self._network = network
        self._address = address

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call ``operation`` at the peer at ``address``; never times out."""
        return await self._network.deliver(
            (self._address, address),
            operation,
            body,
            fresh=fresh,
        )

    def disconnect(self, address: str) -> None:
        """Do nothing, because calls need no connection."""
