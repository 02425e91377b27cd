"""Typed calls to the host that owns a member or holds a term.

A call to this host itself takes the same path without a connection.
"""

from collections.abc import Collection, Mapping
from typing import Any, final

from mimosapond import codec
from mimosapond.floor import Floor
from mimosapond.host_record import HostRecord
from mimosapond.outcome import Outcome
from mimosapond.peer_port import PeerOperation, PeerPort
from mimosapond.peer_results import (
    PeerAnswered,
    PeerRejected,
    PeerResult,
    PeerUnavailable,
)
from mimosapond.peer_run import PeerRun
from mimosapond.rejected_call_error import RejectedCallError


@final
class HostCaller:
    """Calls operations at a host and decodes the answers."""

    def __init__(
        self,
        own_host_id: str,
        peers: PeerPort,
        own_operations: Collection[str] = (),
    ) -> None:
        """Take the port for other hosts.

        ``own_operations`` run at this host whichever host is named.
        """
        self._own_operations = own_operations
        self._own_host_id = own_host_id
        self._peers = peers
        self._operations: Mapping[str, PeerOperation] = {}

    def serve(self, operations: Mapping[str, PeerOperation]) -> None:
        """Set the operations of this host."""
        self._operations = operations

    async def run(
        self,
        host: HostRecord,
        operation: str,
        run: PeerRun,
        timeout_s: float,
    ) -> Outcome | PeerRejected | PeerUnavailable:
        """Call ``run`` or ``begin``."""
        return await self.request(
            host,
            operation,
            codec.encode(run),
            timeout_s,
        )

    async def request(
        self,
        host: HostRecord,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> Outcome | PeerRejected | PeerUnavailable:
        """Call an operation that answers an outcome."""
        answer = await self.call(host, operation, body, timeout_s)
        if isinstance(answer, PeerAnswered):
            return codec.decode_outcome(answer.body)
        return answer

    async def floor(
        self,
        host: HostRecord,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> Floor | PeerRejected | PeerUnavailable:
        """Ask the holder for a session's floor."""
        answer = await self.call(host, 'floor', body, timeout_s)
        if isinstance(answer, PeerAnswered):
            return codec.decode(Floor, answer.body)
        return answer

    async def call(
        self,
        host: HostRecord,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        """Call ``operation`` at ``host``."""
        is_own = operation in self._own_operations
        if host.host_id != self._own_host_id and not is_own:
            return await self._peers.call(
                host.address,
                operation,
                body,
                timeout_s,
            )
        try:
            return PeerAnswered(await self._operations[operation](body))
        except RejectedCallError as error:
            return PeerRejected(
                error.body['reason'],
                error.body['message'],
                error.body,
            )
