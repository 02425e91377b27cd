"""Port: calls to other hosts."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol, TypeAlias

from mimosapond.peer_results import PeerResult

PeerOperation: TypeAlias = Callable[
    [Mapping[str, Any]],
    Awaitable[Mapping[str, Any]],
]


class PeerPort(Protocol):
    """One kept connection per peer; calls are multiplexed on it."""

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

    def disconnect(self, address: str) -> None:
        """Close the kept connection to ``address``."""
