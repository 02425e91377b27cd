"""Assigns an owner host to each member by rendezvous hashing.

Every host computes the same owners from the same membership, so placement needs
no agreement between hosts. If a host leaves, only its members get another owner.
"""

import hashlib
from collections import defaultdict
from typing import final

from mimosapond.decision_log import DecisionLog
from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress
from mimosapond.membership import Membership


def _score(candidate: str, member: str) -> bytes:
    return hashlib.sha256(f'{candidate}|{member}'.encode()).digest()


@final
class Placement:
    """Computes the owner of each member from the current membership.

    Hosts in the data centre of the member are preferred.
    """

    def __init__(self, membership: Membership, decisions: DecisionLog) -> None:
        """Place members on the hosts of ``membership``; log to ``decisions``."""
        self._membership = membership
        self._decisions = decisions
        self._version = -1
        self._cached: dict[str, HostRecord | None] = {}
        self._logged_owner_ids: dict[str, str] = {}

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the owner of ``member``; None if no host can own members."""
        if self._version != self._membership.version:
            self._version = self._membership.version
            self._cached.clear()
        if member.name not in self._cached:
            owner = self._choose(member)
            self._cached[member.name] = owner
            self._log(member, owner)
        return self._cached[member.name]

    def _choose(self, member: MemberAddress) -> HostRecord | None:
        by_centre: defaultdict[str, list[HostRecord]] = defaultdict(list)
        for record in self._membership.placeable():
            by_centre[record.data_centre].append(record)
        if not by_centre:
            return None
        centre = member.data_centre
        if centre not in by_centre:
            centre = max(by_centre, key=lambda name: _score(name, member.name))
        return max(
            by_centre[centre],
            key=lambda host: _score(host.host_id, member.name),
        )

    def _log(self, member: MemberAddress, owner: HostRecord | None) -> None:
        owner_id = '' if owner is None else owner.host_id
        previous_id = self._logged_owner_ids.get(member.name, '')
        if owner_id == previous_id:
            return
        self._logged_owner_ids[member.name] = owner_id
        previous = self._membership.host(previous_id)
        self._decisions.record(
            'placement',
            'highest hash among the live hosts',
            member=member.name,
            owner=owner_id,
            previous=previous_id,
            previous_state='' if previous is None else previous.state,
        )
