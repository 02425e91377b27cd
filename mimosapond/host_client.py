"""Typed calls to the host that owns a member or holds a term.

Calls of this host to itself have the same interface and need no connection.
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
class HostClient:
    """Calls operations of hosts and decodes their answers."""

    def __init__(
        self,
        own_host_id: str,
        peers: PeerPort,
        local_operations: Collection[str] = (),
    ) -> None:
        """Start without local operations; ``serve`` sets them.

        Parameters
        ----------
        own_host_id
            Id of this host.
        peers
            Port for calls to other hosts.
        local_operations
            Names of operations that always run at this host, whatever host a
            call names.
        """
        self._local_operations = local_operations
        self._own_host_id = own_host_id
        self._peers = peers
        self._operations: Mapping[str, PeerOperation] = {}

    def serve(self, operations: Mapping[str, PeerOperation]) -> None:
        """Set the operations that run at this host."""
        self._operations = operations

    async def run(
        self,
        host: HostRecord,
        operation: str,
        run: PeerRun,
        timeout_s: float,
    ) -> Outcome | PeerRejected | PeerUnavailable:
        """Call the operation ``run`` or ``begin``."""
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
        """Call an operation whose answer is an outcome."""
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
        """Ask the term holder for the floor of a session."""
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
        """Call ``operation`` at ``host`` and return the raw answer."""
        is_local = operation in self._local_operations
        if host.host_id != self._own_host_id and not is_local:
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
