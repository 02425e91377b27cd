"""Starts and stops the member owners and group keepers of this host."""

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

_POLL_INTERVAL_S: Final = 0.1

KeeperFactory: TypeAlias = Callable[[GroupSpec], GroupKeeper]


@final
@attrs.frozen
class SupervisorParts:
    """Inputs that decide what this host runs, and registries of what runs."""

    store: DocumentStore
    membership: Membership
    placement: Placement
    owners: OwnerRegistry
    holders: TermRegistry
    clock: Clock
    build_keeper: KeeperFactory


@final
@attrs.frozen
class _RunningKeeper:
    keeper: GroupKeeper
    group: GroupSpec
    task: asyncio.Task[None]


@final
class GroupSupervisor:
    """Applies documents, membership and held terms to the running tasks.

    A host runs a keeper for a group if it should own a member of the group, if
    it holds the group's term, or while reads of the group are still running.
    """

    def __init__(self, parts: SupervisorParts) -> None:
        """Start without owners and keepers."""
        self._parts = parts
        self._keepers: dict[str, _RunningKeeper] = {}
        self._holder_tasks: dict[
            str, tuple[TermHolder, asyncio.Task[None]]
        ] = {}
        self._owned: dict[str, MemberAddress] = {}
        self._drop_tasks: set[asyncio.Task[None]] = set()
        self._applied_state: tuple[object, ...] = ()

    async def run(self) -> None:
        """Apply changes until cancelled, then end all keepers."""
        try:
            while True:
                self._step_if_changed()
                await self._parts.clock.sleep(_POLL_INTERVAL_S)
        finally:
            self._cancel_all()

    async def opinion(self, group: str, term: int) -> bool:
        """Return whether this host can reach the primary of ``term``.

        Raises
        ------
        RejectedCallError
            This host runs no keeper for ``group``.
        """
        running = self._keepers.get(group)
        if running is None:
            raise RejectedCallError(
                'no_keeper', f'this host runs no keeper for {group}'
            )
        return await running.keeper.opinion(term)

    async def refresh(self, group: str) -> None:
        """Pull one beacon of ``group``; without a keeper, do nothing."""
        running = self._keepers.get(group)
        if running is not None:
            await running.keeper.refresh()

    def step(self) -> None:
        """Start missing owners and keepers, and stop those no longer needed."""
        watched_groups: dict[str, GroupSpec] = {}
        owned: dict[str, MemberAddress] = {}
        for document in self._parts.store.all():
            for group in document.groups:
                members = self._members_to_own(group)
                owned.update({member.name: member for member in members})
                if members or self._is_draining(group):
                    watched_groups[group.name] = group
        self._apply_owned(owned)
        self._apply_keepers(watched_groups)
        self._apply_holder_tasks(watched_groups)

    @property
    def owned(self) -> tuple[MemberAddress, ...]:
        """Addresses of the members that this host owns."""
        return tuple(self._owned.values())

    @property
    def held(self) -> tuple[TermHolder, ...]:
        """Open holders of the groups that this host runs a keeper for."""
        return tuple(
            holder
            for name in self._keepers
            if (holder := self._parts.holders.holder(name)) is not None
        )

    def _step_if_changed(self) -> None:
        # Checking all members of a large fleet ten times per second would
        # cost one percent of a core or more, so it is skipped while the
        # inputs are unchanged.
        state = (
            self._parts.membership.version,
            self._parts.store.digest(),
            self._parts.holders.open_terms(),
            len(self._drop_tasks),
        )
        if state != self._applied_state:
            self.step()
            self._applied_state = state

    def _members_to_own(self, group: GroupSpec) -> list[MemberAddress]:
        holder = self._parts.holders.holder(group.name)
        primary = None if holder is None else holder.view.primary
        return [
            member
            for member in group.members
            if member.name == primary or self._is_placed_here(member)
        ]

    def _is_draining(self, group: GroupSpec) -> bool:
        """Return whether reads of the group are still running here.

        The age of the data they read is derived from the beacons that the
        keeper pulls.
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
            self._drop_tasks.add(task)
            task.add_done_callback(self._drop_tasks.discard)
        self._owned = owned

    def _apply_keepers(self, watched_groups: dict[str, GroupSpec]) -> None:
        for name, running in tuple(self._keepers.items()):
            if watched_groups.get(name) != running.group:
                running.task.cancel()
                self._keepers.pop(name)
        for name, group in watched_groups.items():
            if name not in self._keepers:
                keeper = self._parts.build_keeper(group)
                task = asyncio.create_task(self._run_keeper(keeper, name))
                self._keepers[name] = _RunningKeeper(keeper, group, task)

    async def _run_keeper(self, keeper: GroupKeeper, name: str) -> None:
        while True:
            try:
                await keeper.run()
            except Exception:  # noqa: BLE001 # keep watching the group
                logger.bind(group=name).exception('keeper_failed')
            await self._parts.clock.sleep(_POLL_INTERVAL_S)

    def _apply_holder_tasks(self, watched_groups: dict[str, GroupSpec]) -> None:
        for name in watched_groups:
            holder = self._parts.holders.holder(name)
            known = self._holder_tasks.get(name)
            if holder is not None and (known is None or known[0] is not holder):
                task = asyncio.create_task(holder.run())
                self._holder_tasks[name] = (holder, task)

    def _cancel_all(self) -> None:
        for running in self._keepers.values():
            running.task.cancel()
        for _holder, task in self._holder_tasks.values():
            task.cancel()
