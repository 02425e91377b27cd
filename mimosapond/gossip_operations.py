"""Server side of the peer operations for gossip and documents."""

from collections.abc import Mapping
from typing import Any, final

from mimosapond.anti_entropy import AntiEntropy
from mimosapond.clock import MS_PER_S
from mimosapond.document_sync import DocumentSync
from mimosapond.gossip_state import GossipState
from mimosapond.peer_contacts import PeerContacts
from mimosapond.peer_port import PeerOperation
from mimosapond.peer_results import PeerAnswered


@final
class GossipOperations:
    """Answers ``probe``, ``probe_indirect``, ``gossip`` and ``documents``."""

    def __init__(
        self,
        gossip: GossipState,
        anti_entropy: AntiEntropy,
        contacts: PeerContacts,
        documents: DocumentSync,
    ) -> None:
        """Create the operations on the state of this host."""
        self._gossip = gossip
        self._anti_entropy = anti_entropy
        self._contacts = contacts
        self._documents = documents

    def mapping(self) -> Mapping[str, PeerOperation]:
        """Return the operations by name."""
        return {
            'probe': self.probe,
            'probe_indirect': self.probe_indirect,
            'gossip': self.gossip,
            'documents': self._documents.serve,
        }

    async def probe(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Apply the changes of a probe and answer with recent changes."""
        sender = await self._gossip.receive(body)
        return self._gossip.compose('' if sender is None else sender.host_id)

    async def probe_indirect(
        self,
        body: Mapping[str, Any],
    ) -> Mapping[str, Any]:
        """Probe another host for the sender.

        The answer's ``reached`` tells whether that host answered in time.
        """
        await self._gossip.receive(body)
        is_reached = await self._is_reachable(
            body['target'], body['timeout_ms']
        )
        return {**self._gossip.compose(), 'reached': is_reached}

    async def gossip(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Apply pushed changes, or answer a comparison of the whole state.

        The answer to a push is empty, which limits the traffic of a burst of
        pushes.
        """
        await self._gossip.receive(body)
        buckets = body.get('buckets')
        if buckets is None:
            return {}
        return self._anti_entropy.serve(buckets)

    async def _is_reachable(self, host_id: str, timeout_ms: int) -> bool:
        probed = self._contacts.membership.host(host_id)
        if probed is None:
            return False
        result = await self._contacts.call(
            probed.address,
            'probe',
            self._gossip.compose(host_id),
            timeout_ms / MS_PER_S,
        )
        if not isinstance(result, PeerAnswered):
            return False
        sender = await self._gossip.receive(result.body)
        return sender is not None and sender.host_id == host_id
