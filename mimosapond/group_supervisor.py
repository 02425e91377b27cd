"""Runs the owners and keepers that placement assigns to this host."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.clock import Clock
from mimosapond.document_store import DocumentStore
from mimosapond.group_keeper import GroupKeeper
from mimosapond.group_spec import GroupSpec
from mimosapond.member_address import MemberAddress
from mimosapond.membership import Membership
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.rendezvous import Placement
from mimosapond.term_holder import TermHolder
from mimosapond.term_registry import TermRegistry

_INTERVAL_S: Final = 0.1

KeeperFactory: TypeAlias = Callable[[GroupSpec], GroupKeeper]


@final
@attrs.frozen
class SupervisedParts:
    """What decides about the work of this host, and where it runs."""

    store: DocumentStore
    membership: Membership
    placement: Placement
    owners: OwnerRegistry
    holders: TermRegistry
    clock: Clock
    build_keeper: KeeperFactory


@final
@attrs.frozen
class _Kept:
    keeper: GroupKeeper
    group: GroupSpec
    task: asyncio.Task[None]


@final
class GroupSupervisor:
    """Follows documents, membership and held terms.

    A host keeps a group when it should own one of its members, or still holds
    its term.
    """

    def __init__(self, parts: SupervisedParts) -> None:
        """Start without groups."""
        self._parts = parts
        self._kept: dict[str, _Kept] = {}
        self._sweepers: dict[str, tuple[TermHolder, asyncio.Task[None]]] = {}
        self._owned: dict[str, MemberAddress] = {}
        self._drops: set[asyncio.Task[None]] = set()
        self._followed: tuple[object, ...] = ()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        try:
            while True:
                self._follow()
                await self._parts.clock.sleep(_INTERVAL_S)
        finally:
            self._cancel_all()

    async def opinion(self, group: str, term: int) -> bool:
        """Tell whether this host can reach the group's primary."""
        kept = self._kept.get(group)
        if kept is None:
            raise RejectedCallError('no_keeper', f'{group} is not kept here')
        return await kept.keeper.opinion(term)

    async def refresh(self, group: str) -> None:
        """Pull one beacon of a group that this host keeps."""
        kept = self._kept.get(group)
        if kept is not None:
            await kept.keeper.refresh()

    def step(self) -> None:
        """Start what is missing and stop what is no longer needed."""
        kept: dict[str, GroupSpec] = {}
        owned: dict[str, MemberAddress] = {}
        for document in self._parts.store.all():
            for group in document.groups:
                members = self._members(group)
                owned.update({member.name: member for member in members})
                if members or self._is_draining(group):
                    kept[group.name] = group
        self._apply_owned(owned)
        self._apply_kept(kept)
        self._apply_sweepers(kept)

    @property
    def owned(self) -> tuple[MemberAddress, ...]:
        """Members that this host owns."""
        return tuple(self._owned.values())

    @property
    def held(self) -> tuple[TermHolder, ...]:
        """Terms that this host holds."""
        return tuple(
            holder
            for name in self._kept
            if (holder := self._parts.holders.holder(name)) is not None
        )

    def _follow(self) -> None:
        # Looking at all members of a large fleet ten times a second would
        # cost a core's percent or more, so unchanged inputs are passed over.
        state = (
            self._parts.membership.version,
            self._parts.store.digest(),
            self._parts.holders.open_terms(),
            len(self._drops),
        )
        if state != self._followed:
            self.step()
            self._followed = state

    def _members(self, group: GroupSpec) -> list[MemberAddress]:
        holder = self._parts.holders.holder(group.name)
        primary = None if holder is None else holder.view.primary
        return [
            member
            for member in group.members
            if member.name == primary or self._is_placed_here(member)
        ]

    def _is_draining(self, group: GroupSpec) -> bool:
        """Tell whether reads of the group still run here.

        Their data is dated by the beacons that the keeper pulls.
        """
        return any(
            self._parts.owners.is_draining(member.name)
            for member in group.members
        )

    def _is_placed_here(self, member: MemberAddress) -> bool:
        owner = self._parts.placement.owner_of(member)
        own_id = self._parts.membership.own.host_id
        return owner is not None and owner.host_id == own_id

    def _apply_owned(self, owned: dict[str, MemberAddress]) -> None:
        for member in owned.values():
            self._parts.owners.ensure(member)
        for name in self._owned.keys() - owned.keys():
            task = asyncio.create_task(self._parts.owners.drop(name))
            self._drops.add(task)
            task.add_done_callback(self._drops.discard)
        self._owned = owned

    def _apply_kept(self, kept: dict[str, GroupSpec]) -> None:
        for name, known in tuple(self._kept.items()):
            if kept.get(name) != known.group:
                known.task.cancel()
                self._kept.pop(name)
        for name, group in kept.items():
            if name not in self._kept:
                keeper = self._parts.build_keeper(group)
                task = asyncio.create_task(self._keep(keeper, name))
                self._kept[name] = _Kept(keeper, group, task)

    async def _keep(self, keeper: GroupKeeper, name: str) -> None:
        while True:
            try:
                await keeper.run()
            except Exception:  # noqa: BLE001 # a group must stay watched
                logger.bind(group=name).exception('keeper_failed')
            await self._parts.clock.sleep(_INTERVAL_S)

    def _apply_sweepers(self, kept: dict[str, GroupSpec]) -> None:
        for name in kept:
            holder = self._parts.holders.holder(name)
            known = self._sweepers.get(name)
            if holder is not None and (known is None or known[0] is not holder):
                task = asyncio.create_task(holder.run())
                self._sweepers[name] = (holder, task)

    def _cancel_all(self) -> None:
        for known in self._kept.values():
            known.task.cancel()
        for _holder, task in self._sweepers.values():
            task.cancel()
