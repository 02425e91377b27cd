"""First step of a graceful shutdown: tell everyone that this host leaves."""

from typing import final

from mimosapond.gossip_pusher import GossipPusher
from mimosapond.host_list_poller import HostListPoller
from mimosapond.membership import Membership


@final
class HostLeave:
    """Marks this host as leaving at its peers and on the platform's list."""

    def __init__(
        self,
        membership: Membership,
        pusher: GossipPusher,
        hosts: HostListPoller,
    ) -> None:
        """Take the parts that spread the state."""
        self._membership = membership
        self._pusher = pusher
        self._hosts = hosts

    @property
    def has_successor(self) -> bool:
        """Whether a host is left that can take over."""
        return bool(self._membership.placeable())

    async def announce(self) -> None:
        """Leave; peers are told before the platform, which may be down."""
        self._membership.leave()
        await self._pusher.push()
        await self._hosts.register()
