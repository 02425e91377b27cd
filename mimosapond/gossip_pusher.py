"""Pushes urgent changes at once instead of with the next probe.

New group views, leaving hosts and targets, and refutations are urgent: requests
go wrong until every host knows them.
"""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.gossip_state import GossipState
from mimosapond.options import Options
from mimosapond.peer_contacts import FANOUT_COUNT, PeerContacts

# Up to this size the first host reaches all others in one step.
_BROADCAST_HOST_COUNT: Final = 16


@final
class GossipPusher:
    """Forwards each urgent change once, on first receipt."""

    def __init__(
        self,
        gossip: GossipState,
        contacts: PeerContacts,
        options: Options,
    ) -> None:
        """Take the source of changes and the peers."""
        self._gossip = gossip
        self._contacts = contacts
        self._timeout_s = options.probe_interval_ms / MS_PER_S

    async def run(self) -> None:
        """Push for ever."""
        while True:
            await self._gossip.wait_urgent()
            await self.push()

    async def push(self) -> None:
        """Push the urgent changes that are waiting."""
        changes, is_local = self._gossip.take_urgent()
        if not changes:
            return
        count = FANOUT_COUNT
        peer_count = len(self._contacts.membership.peers())
        if is_local and peer_count < _BROADCAST_HOST_COUNT:
            count = peer_count
        await self._contacts.call_all(
            self._contacts.sample(count),
            'gossip',
            self._gossip.envelope(changes),
            self._timeout_s,
        )
