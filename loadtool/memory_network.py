"""In-memory network between the instances of one process.

Messages are encoded as JSON and decoded again. Their sizes and the cost of
encoding are therefore real, and instances share no objects.
"""

import json
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final, final

from mimosapond.codec import dump_json
from mimosapond.peer_port import PeerOperation
from mimosapond.peer_results import PeerAnswered, PeerResult, PeerUnavailable

# Header of a masked WebSocket frame with a 16-bit length.
_FRAME_HEADER_BYTES: Final = 8


@final
class MemoryNetwork:
    """Delivers calls between instances, and injects faults.

    Attributes
    ----------
    cut
        Pairs of sender and receiver between which no message arrives.
    silent_links
        Pairs of sender and receiver whose open connection loses all messages.
        A fresh connection works and removes the fault.
    traffic_bytes, message_count
        Bytes and messages that were sent and received, by address.
    largest_bytes
        Size of the largest message without its header, by operation.
    """

    def __init__(self) -> None:
        """Create a network without instances or faults."""
        self.blocked_links: set[tuple[str, str]] = set()
        self.silent_links: set[tuple[str, str]] = set()
        self.traffic_bytes: Counter[str] = Counter()
        self.message_count: Counter[str] = Counter()
        self.largest_bytes: Counter[str] = Counter()
        self._instances: dict[str, Mapping[str, PeerOperation]] = {}

    def attach(
        self,
        address: str,
        operations: Mapping[str, PeerOperation],
    ) -> None:
        """Make the operations reachable at ``address``."""
        self._instances[address] = operations

    def detach(self, address: str) -> None:
        """Make the instance at ``address`` unreachable."""
        self._instances.pop(address, None)

    async def deliver(
        self,
        route: tuple[str, str],
        operation: str,
        body: Mapping[str, Any],
        *,
        fresh: bool,
    ) -> PeerResult:
        """Run a call at the receiver and count its messages.

        Parameters
        ----------
        route
            Address of the sender and of the receiver.
        fresh
            Whether the call opens a new connection.

        Returns
        -------
        PeerResult
            The answer, or ``PeerUnavailable`` if the call or its answer was
            lost. Its ``sent`` is false only if the call surely did not arrive.
        """
        sender, address = route
        call = {'call_id': 1, 'op': operation, 'body': body}
        request = self._transmit(route, operation, call)
        operations = self._instances.get(address)
        if operations is None or route in self.blocked_links:
            return PeerUnavailable('no answer', sent=False)
        if fresh:
            self.silent_links.discard(route)
        if route in self.silent_links:
            return PeerUnavailable('no answer', sent=True)
        answer = await operations[operation](request['body'])
        if (address, sender) in self.blocked_links:
            return PeerUnavailable('no answer', sent=True)
        reply = {'call_id': 1, 'status': 'ok', 'body': answer}
        decoded = self._transmit((address, sender), operation, reply)
        return PeerAnswered(decoded['body'])

    def _transmit(
        self,
        route: tuple[str, str],
        operation: str,
        message: Mapping[str, Any],
    ) -> Mapping[str, Any]:
        text = dump_json(message)
        size_bytes = len(text) + _FRAME_HEADER_BYTES
        for address in route:
            self.traffic_bytes[address] += size_bytes
            self.message_count[address] += 1
        largest = max(self.largest_bytes[operation], len(text))
        self.largest_bytes[operation] = largest
        decoded: Mapping[str, Any] = json.loads(text)
        return decoded
