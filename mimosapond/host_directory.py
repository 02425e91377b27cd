"""Ports of the terms area to membership, placement and data age."""

from typing import Protocol

from mimosapond.group_beacon import GroupBeacon
from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress


class HostDirectory(Protocol):
    """Known hosts, as ``Membership`` gives them."""

    def host(self, host_id: str) -> HostRecord | None:
        """Return what is known of ``host_id``."""


class OwnerLookup(Protocol):
    """Placement of members, as ``Placement`` gives it."""

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the preferred owner of ``member``."""


class BeaconSink(Protocol):
    """Receiver of beacons, as ``AgeTracker`` is one."""

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Take a beacon whose question was sent at ``asked_s``."""
