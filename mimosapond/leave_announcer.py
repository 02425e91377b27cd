"""Announces the graceful shutdown of this host, which is its first step."""

from typing import final

from mimosapond.gossip_pusher import GossipPusher
from mimosapond.host_list_poller import HostListPoller
from mimosapond.membership import Membership


@final
class LeaveAnnouncer:
    """Marks this host as leaving at its peers and on the platform's list."""

    def __init__(
        self,
        membership: Membership,
        pusher: GossipPusher,
        hosts: HostListPoller,
    ) -> None:
        """Set the membership, and the parts that report its state."""
        self._membership = membership
        self._pusher = pusher
        self._hosts = hosts

    @property
    def has_successor(self) -> bool:
        """Whether another host can take over from this host."""
        return bool(self._membership.placeable())

    async def announce(self) -> None:
        """Mark this host as leaving and report it.

        Peers are told first, because the platform may be unreachable.
        """
        self._membership.leave()
        await self._pusher.push()
        await self._hosts.register()
