"""One member with its port, registration, replication and faults."""

import asyncio
from collections.abc import Sequence
from typing import Final, final

from standins.database_group.fault_injector import FaultInjector
from standins.database_group.group_member import GroupMember
from standins.database_group.member_listener import MemberListener
from standins.database_group.registrar import Registrar
from standins.database_group.replication import Replication


@final
class MemberProcess:
    """Runs a member from its start until it has left or the group stops."""

    def __init__(
        self, member: GroupMember, members: Sequence[GroupMember]
    ) -> None:
        """Connect the parts of a member.

        Parameters
        ----------
        members
            Present members of the group, with this one.
        """
        self.member: Final = member
        self._listener = MemberListener(member)
        self._registrar = Registrar(member)
        self._replication = Replication(member, members)
        self.injector: Final = FaultInjector(
            member, self._listener, self._registrar
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the port, and start replication and registration."""
        await self._listener.start()
        self._tasks = [
            asyncio.create_task(job.run())
            for job in (self._replication, self._registrar)
        ]

    async def leave(self, drain_s: float) -> bool:
        """Drain and stop for good; False if the member leaves or is down."""
        if not await self.injector.leave(drain_s):
            return False
        self.stop()
        # A heartbeat that was under way may have registered it once more.
        await self._registrar.remove()
        return True

    def stop(self) -> None:
        """Cancel all tasks and close the port."""
        for task in self._tasks:
            task.cancel()
        self._listener.stop()
