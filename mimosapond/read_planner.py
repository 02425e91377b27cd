"""Orders the members that may serve a read."""

import random
from typing import final

import attrs

from mimosapond.entry_services import EntryServices
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord
from mimosapond.member_address import MemberAddress


@final
@attrs.frozen
class ReadCandidate:
    """A member that may serve a read, and the host that serves it."""

    member: MemberAddress
    host: HostRecord
    is_primary: bool


@final
class ReadPlanner:
    """Orders replicas before the primary.

    Within these, members in this host's data centre come first.
    """

    def __init__(
        self,
        services: EntryServices,
        randomness: random.Random,
    ) -> None:
        """Use ``randomness`` to spread load over equally good members."""
        self._services = services
        self._randomness = randomness

    def plan(self, group: GroupSpec) -> tuple[ReadCandidate, ...]:
        """Return the candidates in the order in which they are tried."""
        view = self._services.views.get(group.name)
        candidates = [
            candidate
            for member in group.members
            if (candidate := self._candidate(member, view)) is not None
        ]
        self._randomness.shuffle(candidates)
        candidates.sort(key=self._rank)
        return tuple(candidates)

    def _candidate(
        self,
        member: MemberAddress,
        view: GroupView | None,
    ) -> ReadCandidate | None:
        if view is not None and view.primary == member.name:
            # A leaving primary remains the last candidate until it is replaced,
            # since it may be the only member with the session's last write.
            host = self._services.hosts.host(view.holder)
            return None if host is None else ReadCandidate(member, host, True)
        if self._services.leaving.is_leaving(member.name):
            return None
        owner = self._services.owners.owner_of(member)
        return None if owner is None else ReadCandidate(member, owner, False)

    def _rank(self, candidate: ReadCandidate) -> tuple[bool, bool]:
        own = self._services.hosts.own.data_centre
        return candidate.is_primary, candidate.member.data_centre != own
