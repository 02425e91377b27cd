"""Plays the faults of one member."""

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

# A member drops connections whose other end was out of reach for this long.
_DROP_S: Final = 3.0
_WINDOWS: Final = frozenset(
    ('answer_lost', 'answer_cut', 'answer_split', 'slow', 'deaf'),
)


@final
class FaultPlayer:
    """Carries out the faults that need more than a window of time."""

    def __init__(
        self,
        member: GroupMember,
        listener: MemberListener,
        registrar: Registrar,
    ) -> None:
        """Take the parts of the member."""
        self._member = member
        self._listener = listener
        self._registrar = registrar
        self._first_id = member.member_id
        self._replaced_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def member_id(self) -> str:
        """Present id of the member."""
        return self._member.member_id

    def play(self, call: FaultCall) -> bool:
        """Start a fault; False if there is no such kind."""
        if call.kind in _WINDOWS:
            self._member.faults.set(call.kind, call.ratio, call.for_s)
            return True
        for_s = call.for_s or 0
        match call.kind:
            case 'crash':
                self._start(self._crash(for_s))
            case 'dark':
                self._start(self._darken(for_s))
            case 'forget_connections':
                self._start(self._forget())
            case 'drain':
                self._start(self._drain(for_s, call.replace_after_s))
            case _:
                return False
        return True

    async def _crash(self, for_s: float) -> None:
        if self._member.is_running:
            self._end()
            await asyncio.sleep(for_s)
            await self._return()

    async def _darken(self, for_s: float) -> None:
        if not self._member.is_running:
            return
        self._member.faults.set('dark', 1, for_s)
        self._listener.silence()
        self._member.notify()
        await asyncio.sleep(min(for_s, _DROP_S))
        # A crash meanwhile ends the fault, and later connections live.
        is_dark = for_s > _DROP_S and self._member.faults.has('dark')
        dropped = tuple(self._member.opened) if is_dark else ()
        for connection in dropped:
            connection.fall_silent()
            connection.drop()
        await asyncio.sleep(max(for_s - _DROP_S, 0))
        for connection in dropped:
            connection.abort()
        if self._listener.is_silent and self._member.is_reachable:
            await self._listener.start()
        self._member.notify()

    async def _forget(self) -> None:
        connections = tuple(self._member.opened)
        for connection in connections:
            connection.fall_silent()
        await asyncio.sleep(_DROP_S)
        for connection in connections:
            connection.drop()

    async def _drain(self, for_s: float, replace_after_s: float | None) -> None:
        if self._member.is_draining or not self._member.is_running:
            return
        self._member.is_draining = True
        self._member.notify()
        await asyncio.sleep(for_s)
        await self._await_running()
        self._end()
        self._member.is_primary = False
        await self._registrar.remove()
        if replace_after_s is not None:
            await asyncio.sleep(replace_after_s)
            self._replaced_count += 1
            place = attrs.evolve(
                self._member.place,
                member_id=f'{self._first_id}-{self._replaced_count}',
            )
            self._member.place = place
            self._member.is_draining = False
            await self._return()

    async def _await_running(self) -> None:
        while not self._member.is_running:
            await self._member.wait_change()

    async def _return(self) -> None:
        self._member.born_ms = int(time.time() * MS_PER_S)
        await self._listener.start()
        self._member.is_running = True
        self._member.notify()

    def _end(self) -> None:
        self._member.is_running = False
        self._member.paused_term = 0
        self._member.faults.clear()
        self._listener.stop()
        self._member.notify()

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
