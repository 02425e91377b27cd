"""Injects the faults of one member."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S
from standins.database_group.fault_call import FaultCall
from standins.database_group.group_member import GroupMember
from standins.database_group.member_listener import MemberListener
from standins.database_group.registrar import Registrar

# Time after which a member drops a connection with an unreachable peer.
_DROP_AFTER_S: Final = 3.0
# Faults that the member checks itself while they are in force.
_TIMED_KINDS: Final = frozenset(
    (
        'answer_lost',
        'answer_cut',
        'answer_split',
        'slow',
        'deaf',
        'occupied',
        'late_resume',
    ),
)


@final
class FaultInjector:
    """Sets timed faults and runs the faults that consist of several steps."""

    def __init__(
        self,
        member: GroupMember,
        listener: MemberListener,
        registrar: Registrar,
    ) -> None:
        """Store the parts of the member that the faults act on."""
        self._member = member
        self._listener = listener
        self._registrar = registrar
        self._base_id = member.member_id
        self._replacement_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def member_id(self) -> str:
        """Current id of the member, which a replacement changes."""
        return self._member.member_id

    def inject_fault(self, call: FaultCall) -> bool:
        """Start a fault; return False if its kind is unknown."""
        if call.kind in _TIMED_KINDS:
            self._member.faults.set(call.kind, call.ratio, call.for_s)
            return True
        for_s = call.for_s or 0
        match call.kind:
            case 'crash':
                self._start_task(self._crash(for_s, keeps_log=True))
            case 'lose_log':
                self._start_task(self._crash(for_s, keeps_log=False))
            case 'dark':
                self._start_task(self._make_unreachable(for_s))
            case 'forget_connections':
                self._start_task(self._forget_connections())
            case 'drain':
                self._start_task(self._drain(for_s, call.replace_after_s))
            case _:
                return False
        return True

    async def leave(self, for_s: float) -> bool:
        """Drain for ``for_s`` and stop; False if it leaves or is down already."""
        if self._member.is_draining or not self._member.is_running:
            return False
        self._member.is_draining = True
        self._member.notify()
        await asyncio.sleep(for_s)
        await self._wait_until_running()
        self._stop_member()
        self._member.is_primary = False
        await self._registrar.remove()
        return True

    async def _crash(self, for_s: float, *, keeps_log: bool) -> None:
        if self._member.is_running:
            self._stop_member()
            # A primary that crashes comes back with its log.
            if not (keeps_log or self._member.is_primary):
                self._member.log.clear()
            await asyncio.sleep(for_s)
            await self._restart_member()

    async def _make_unreachable(self, for_s: float) -> None:
        if not self._member.is_running:
            return
        self._member.faults.set('dark', 1, for_s)
        self._listener.silence()
        self._member.notify()
        await asyncio.sleep(min(for_s, _DROP_AFTER_S))
        # A crash during the wait ends the fault, and connections that were
        # accepted after it must not be dropped.
        is_dark = for_s > _DROP_AFTER_S and self._member.faults.has('dark')
        dropped = tuple(self._member.open_connections) if is_dark else ()
        for connection in dropped:
            connection.stop_answering()
            connection.drop()
        await asyncio.sleep(max(for_s - _DROP_AFTER_S, 0))
        for connection in dropped:
            connection.abort()
        if self._listener.is_silent and self._member.is_reachable:
            await self._listener.start()
        self._member.notify()

    async def _forget_connections(self) -> None:
        connections = tuple(self._member.open_connections)
        for connection in connections:
            connection.stop_answering()
        await asyncio.sleep(_DROP_AFTER_S)
        for connection in connections:
            connection.drop()

    async def _drain(self, for_s: float, replace_after_s: float | None) -> None:
        if await self.leave(for_s) and replace_after_s is not None:
            await asyncio.sleep(replace_after_s)
            self._replacement_count += 1
            endpoint = attrs.evolve(
                self._member.endpoint,
                member_id=f'{self._base_id}-{self._replacement_count}',
            )
            self._member.endpoint = endpoint
            self._member.is_draining = False
            self._member.drain_accepted_s = None
            await self._restart_member()

    async def _wait_until_running(self) -> None:
        while not self._member.is_running:
            await self._member.wait_for_change()

    async def _restart_member(self) -> None:
        self._member.started_ms = int(time.time() * MS_PER_S)
        await self._listener.start()
        self._member.is_running = True
        self._member.notify()

    def _stop_member(self) -> None:
        self._member.is_running = False
        self._member.paused_term = 0
        self._member.faults.clear()
        self._listener.stop()
        self._member.notify()

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
