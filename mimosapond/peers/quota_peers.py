"""Sends requests about quotas over the connections between hosts."""

import asyncio
from typing import final

from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.quotas.quota_messages import QuotaAnswer, QuotaRequest


@final
class PeerQuotas:
    """Implements ``QuotaPeers`` with a client of other hosts."""

    def __init__(self, client: PeerClient) -> None:
        """Send requests with ``client``."""
        self._client = client

    async def ask(
        self, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        """Return the answer of a peer; None without one within the limit.

        The limit includes the time to open a connection.
        """
        try:
            async with asyncio.timeout(limit_s):
                return await self._client.ask_quota(peer, request, limit_s)
        except TimeoutError:
            return None
