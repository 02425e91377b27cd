"""Peer port without sockets: connects instances in one process.

Bodies pass through JSON, so that sizes and the cost of encoding are real and
no object is shared between instances.
"""

import json
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final, final

from mimosapond.codec import dump_json
from mimosapond.peer_port import PeerOperation
from mimosapond.peer_results import PeerAnswered, PeerResult, PeerUnavailable

# Header of a masked WebSocket frame with a 16 bit length.
_FRAME_HEADER_BYTES: Final = 8


@final
class MemoryNetwork:
    """Switchboard between the instances, with faults.

    Attributes
    ----------
    cut
        Ordered pairs of addresses between which no call arrives.
    silent_links
        Ordered pairs whose kept connection is silent; a fresh one works.
    traffic_bytes, message_count
        Sent and received per address.
    """

    def __init__(self) -> None:
        """Start without instances or faults."""
        self.cut: set[tuple[str, str]] = set()
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
        """Stop the instance at ``address``."""
        self._instances.pop(address, None)

    async def deliver(
        self,
        route: tuple[str, str],
        operation: str,
        body: Mapping[str, Any],
        *,
        fresh: bool,
    ) -> PeerResult:
        """Run one call and count its messages."""
        sender, address = route
        call = {'call_id': 1, 'op': operation, 'body': body}
        request = self._count(route, operation, call)
        operations = self._instances.get(address)
        if operations is None or route in self.cut:
            return PeerUnavailable('no answer', sent=False)
        if fresh:
            self.silent_links.discard(route)
        if route in self.silent_links:
            return PeerUnavailable('no answer', sent=True)
        answer = await operations[operation](request['body'])
        if (address, sender) in self.cut:
            return PeerUnavailable('no answer', sent=True)
        reply = {'call_id': 1, 'status': 'ok', 'body': answer}
        carried = self._count((address, sender), operation, reply)
        return PeerAnswered(carried['body'])

    def _count(
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
        carried: Mapping[str, Any] = json.loads(text)
        return carried
