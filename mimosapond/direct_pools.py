"""The pools of the baseline policy, one per member, on every host."""

from collections.abc import Iterator
from typing import final

from mimosapond.clock import Clock
from mimosapond.direct_pool import DirectPool
from mimosapond.document_store import DocumentStore
from mimosapond.member_address import MemberAddress
from mimosapond.options import Options
from mimosapond.target_port import TargetPort


@final
class DirectPools:
    """Finds or creates the pool of a member."""

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
        self._pools: dict[str, DirectPool] = {}

    def owner(self, member_name: str) -> DirectPool | None:
        """Return the pool of a member, None if no document names it."""
        known = self._pools.get(member_name)
        if known is not None:
            return known
        for member in self._configured_members():
            if member.name == member_name:
                return self.ensure(member)
        return None

    def ensure(self, member: MemberAddress) -> DirectPool:
        """Return the pool of ``member``, created on first use."""
        known = self._pools.get(member.name)
        if known is None:
            known = DirectPool(member, self._target, self._options, self._clock)
            self._pools[member.name] = known
        return known

    def _configured_members(self) -> Iterator[MemberAddress]:
        for document in self._store.all():
            for group in document.groups:
                yield from group.members
