"""Ports through which the term modules use hosts, owners and beacons."""

from typing import Protocol

from mimosapond.group_beacon import GroupBeacon
from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress


class HostDirectory(Protocol):
    """Lookup of hosts; ``Membership`` implements it."""

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of ``host_id``; None if it is unknown."""


class OwnerLookup(Protocol):
    """Lookup of the owners of members; ``Placement`` implements it."""

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the preferred owner of ``member``; None if no host may own."""


class BeaconSink(Protocol):
    """Receiver of beacons; ``AgeTracker`` implements it."""

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Process a beacon that was requested at ``asked_s``.

        Parameters
        ----------
        asked_s
            Monotonic time at which the request was sent.
        beacon
            The beacon that was returned.
        """
