"""Replacement of members by new ones at other addresses.

As on the platform, the new member starts first and receives commits from its
start on. The old one then drains, and leaves with its log.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final, TypeAlias, final

from standins.database_group.fault_call import FaultCall
from standins.database_group.group_settings import MemberEndpoint
from standins.database_group.member_process import MemberProcess

# Time after which the port of a member that has left may be used again.
_PORT_REUSE_AFTER_S: Final = 2.0

_Add: TypeAlias = Callable[[MemberEndpoint], MemberProcess]
_Remove: TypeAlias = Callable[[MemberProcess], None]


@final
class MemberReplacer:
    """Starts new members at spare ports and lets the old ones leave."""

    def __init__(
        self,
        group: str,
        spare_ports: tuple[int, ...],
        add: _Add,
        remove: _Remove,
    ) -> None:
        """Store the spare ports.

        Parameters
        ----------
        add, remove
            Add a member to the group, and remove one that has left.
        """
        self._group = group
        self._spare_ports = list(spare_ports)
        self._add = add
        self._remove = remove
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def replace(self, old: MemberProcess, call: FaultCall) -> None:
        """Start a replacement, unless all ports are in use.

        Parameters
        ----------
        call
            Time until the old member drains, and how long it does.
        """
        if self._spare_ports and not old.member.is_draining:
            port = self._spare_ports.pop(0)
            task = asyncio.create_task(self._replace(old, call, port))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the replacements that are under way."""
        for task in self._tasks:
            task.cancel()

    async def _replace(
        self, old: MemberProcess, call: FaultCall, port: int
    ) -> None:
        place = old.member.endpoint.data_centre
        member_id = f'{self._group}-{place}-new{next(self._numbers)}'
        await self._add(MemberEndpoint(member_id, port, place)).start()
        await asyncio.sleep(call.overlap_s)
        # It drains once it runs, and a drain that began meanwhile ends first.
        while not await old.leave(call.for_s or 0):
            await old.member.wait_for_change()
        self._remove(old)
        await asyncio.sleep(_PORT_REUSE_AFTER_S)
        self._spare_ports.append(old.member.endpoint.port)
