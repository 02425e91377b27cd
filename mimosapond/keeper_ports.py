"""Ports through which a group keeper uses the rest of the host."""

import random
from typing import final

import attrs

from mimosapond.degraded_paths import DegradedPaths
from mimosapond.group_views import GroupViews
from mimosapond.host_directory import BeaconSink, HostDirectory, OwnerLookup
from mimosapond.opinion_collector import OpinionCollector
from mimosapond.peer_port import PeerPort
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_registry import TermRegistry


@final
@attrs.frozen
class KeeperPorts:
    """Parts of the host that the keeper of one group uses.

    Attributes
    ----------
    ages
        Derives the age of the group's data from the beacons.
    jitter
        Random source that spreads the attempts of several hosts.
    """

    views: GroupViews
    registry: TermRegistry
    acquirer: TermAcquirer
    opinions: OpinionCollector
    peers: PeerPort
    hosts: HostDirectory
    placement: OwnerLookup
    ages: BeaconSink
    degraded: DegradedPaths
    switchover: PlannedSwitchover
    jitter: random.Random
