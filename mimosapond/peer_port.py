"""Port for calls to other hosts."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol, TypeAlias

from mimosapond.peer_results import PeerResult

PeerOperation: TypeAlias = Callable[
    [Mapping[str, Any]],
    Awaitable[Mapping[str, Any]],
]


class PeerPort(Protocol):
    """Calls peers; the calls share one persistent connection per peer."""

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call ``operation`` of the peer that listens on ``address``.

        With ``fresh``, a new connection is opened and replaces the persistent
        one.
        """

    def disconnect(self, address: str) -> None:
        """Close the persistent connection to ``address``."""
