"""The long-running parts of one host."""

from typing import final

import attrs

from mimosapond.anti_entropy import AntiEntropy
from mimosapond.direct_terms import DirectTerms
from mimosapond.document_sync import DocumentSync
from mimosapond.gossip_pusher import GossipPusher
from mimosapond.group_supervisor import GroupSupervisor
from mimosapond.leave_announcer import LeaveAnnouncer
from mimosapond.host_list_poller import HostListPoller
from mimosapond.http_platform import HttpPlatform
from mimosapond.in_flight import InFlight
from mimosapond.json_peers import JsonPeers
from mimosapond.listeners import Listeners
from mimosapond.options import Options
from mimosapond.prober import Prober
from mimosapond.websocket_target import WebsocketTarget


@final
@attrs.frozen
class HostParts:
    """The parts that a host starts and stops.

    Attributes
    ----------
    in_flight
        Requests of callers that are in flight.
    peer_calls
        Requests of other hosts that are in flight at this host.
    direct_terms
        Only set with the routing policy ``DIRECT``.
    """

    options: Options
    listeners: Listeners
    in_flight: InFlight
    peer_calls: InFlight
    supervisor: GroupSupervisor
    leave_announcer: LeaveAnnouncer
    prober: Prober
    pusher: GossipPusher
    anti_entropy: AntiEntropy
    document_sync: DocumentSync
    host_list: HostListPoller
    peers: JsonPeers
    target: WebsocketTarget
    platform: HttpPlatform
    direct_terms: DirectTerms | None = None
