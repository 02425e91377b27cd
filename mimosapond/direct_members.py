"""The pools of the baseline policy, one per member, on every host."""

from collections.abc import Iterator
from typing import final

from mimosapond.clock import Clock
from mimosapond.direct_member import DirectMember
from mimosapond.document_store import DocumentStore
from mimosapond.member_address import MemberAddress
from mimosapond.options import Options
from mimosapond.target_port import TargetPort


@final
class DirectMembers:
    """Finds the pool of any member that the documents name."""

    def __init__(
        self,
        store: DocumentStore,
        target: TargetPort,
        options: Options,
        clock: Clock,
    ) -> None:
        """Start without pools."""
        self._store = store
        self._target = target
        self._options = options
        self._clock = clock
        self._members: dict[str, DirectMember] = {}

    def owner(self, member_name: str) -> DirectMember | None:
        """Return the pool of the member called ``member_name``."""
        known = self._members.get(member_name)
        if known is not None:
            return known
        for member in self._named():
            if member.name == member_name:
                return self.ensure(member)
        return None

    def ensure(self, member: MemberAddress) -> DirectMember:
        """Return the pool of ``member``, created on first use."""
        known = self._members.get(member.name)
        if known is None:
            known = DirectMember(
                member, self._target, self._options, self._clock
            )
            self._members[member.name] = known
        return known

    def _named(self) -> Iterator[MemberAddress]:
        for document in self._store.all():
            for group in document.groups:
                yield from group.members
