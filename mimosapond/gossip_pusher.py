"""Pushes urgent changes immediately instead of with the next probe.

New group views, leaving hosts and targets, and refutations are urgent, because
hosts that do not know them route requests to the wrong place.
"""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.gossip_state import GossipState
from mimosapond.options import Options
from mimosapond.peer_contacts import FANOUT_COUNT, PeerContacts

# In a system of up to this number of hosts, the host at which a change
# originates sends it to all others directly.
_BROADCAST_HOST_COUNT: Final = 16


@final
class GossipPusher:
    """Sends each urgent change once, when this host first learns of it."""

    def __init__(
        self,
        gossip: GossipState,
        contacts: PeerContacts,
        options: Options,
    ) -> None:
        """Create a pusher of the urgent changes in ``gossip``."""
        self._gossip = gossip
        self._contacts = contacts
        self._timeout_s = options.probe_interval_ms / MS_PER_S

    async def run(self) -> None:
        """Push urgent changes as they occur until cancelled."""
        while True:
            await self._gossip.wait_urgent()
            await self.push()

    async def push(self) -> None:
        """Send the urgent changes that are queued.

        They go to ``FANOUT_COUNT`` random peers, or to all peers if a change
        originates at this host and the system is small.
        """
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
