"""The members that this host owns."""

import asyncio
from typing import final

from mimosapond.clock import Clock
from mimosapond.decision_log import DecisionLog
from mimosapond.member_address import MemberAddress
from mimosapond.member_owner import MemberOwner
from mimosapond.metrics import Metrics
from mimosapond.options import Options
from mimosapond.target_port import TargetPort


@final
class OwnerRegistry:
    """Creates, finds and drains the owners of members."""

    def __init__(
        self,
        target: TargetPort,
        options: Options,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Create a registry without owners."""
        self._target = target
        self._options = options
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._owners: dict[str, MemberOwner] = {}
        self._draining: set[MemberOwner] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def owner(self, member_name: str) -> MemberOwner | None:
        """Return the owner that takes new work for the member, if any."""
        return self._owners.get(member_name)

    def is_draining(self, member_name: str) -> bool:
        """Return whether a dropped owner of the member still has grants."""
        return any(owner.member.name == member_name for owner in self._draining)

    def ensure(self, member: MemberAddress) -> MemberOwner:
        """Return the owner of ``member``; create one if there is none.

        A draining owner of the same member is reopened, because two owners
        together could open twice the share of connections of this host. If the
        address or a limit of the member changed, the old owner is drained.
        """
        known = self._owners.get(member.name)
        if known is not None and known.member == member:
            return known
        if known is not None:
            self._drain_in_background(known)
        owner = self._reopen(member) or self._create(member)
        self._owners[member.name] = owner
        return owner

    async def drop(self, member_name: str) -> None:
        """Refuse new work for the member and wait until its grants end."""
        owner = self._owners.pop(member_name, None)
        if owner is not None:
            self._draining.add(owner)
            await self._drain(owner)

    def _create(self, member: MemberAddress) -> MemberOwner:
        return MemberOwner(
            member,
            self._target,
            self._options,
            self._clock,
            self._decisions,
            self._metrics,
        )

    def _reopen(self, member: MemberAddress) -> MemberOwner | None:
        for owner in self._draining:
            if owner.member == member:
                self._draining.discard(owner)
                owner.reopen()
                return owner
        return None

    def _drain_in_background(self, owner: MemberOwner) -> None:
        self._draining.add(owner)
        task = asyncio.create_task(self._drain(owner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain(self, owner: MemberOwner) -> None:
        await owner.stop()
        self._draining.discard(owner)
