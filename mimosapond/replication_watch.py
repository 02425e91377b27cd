"""Waits until a majority of members holds a log position.

At most one call per replica is in flight. It serves all writes that were
waiting when it began.
"""

import asyncio
from typing import Final, final

import attrs

from mimosapond.bounded_wait import wait_for_future
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.member_address import MemberAddress
from mimosapond.replicated_position import ReplicatedPosition
from mimosapond.standing import Standing
from mimosapond.superseded_members import SupersededMembers
from mimosapond.target_results import (
    ControlResult,
    TargetRejected,
    TargetSilent,
)
from mimosapond.term_parts import RETRY_PAUSE_S, TermParts

_LAGGING: Final = 'timeout'


@attrs.define(eq=False)
class _Waiter:
    position: int
    future: asyncio.Future[bool]
    replica_names: set[str] = attrs.field(factory=set)


@final
class ReplicationWatch:
    """Waits for the replication of log positions of one held term."""

    def __init__(
        self,
        parts: TermParts,
        group: GroupSpec,
        view: GroupView,
        superseded: SupersededMembers,
        replicated: ReplicatedPosition,
    ) -> None:
        """Watch the members of ``group`` other than the primary."""
        self._parts = parts
        self._term = view.term
        self._needed_count = group.majority_count - 1
        self._replicas = tuple(
            member for member in group.members if member.name != view.primary
        )
        self._superseded = superseded
        self._replicated = replicated
        self._waiters: list[_Waiter] = []
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def wait_replicated(self, position: int, deadline_s: float) -> bool:
        """Wait until a majority holds ``position``.

        Returns
        -------
        bool
            False when this was not known before ``deadline_s``, or when the
            term is superseded or closed.
        """
        if self._superseded.is_superseded or not self._needed_count:
            return not self._superseded.is_superseded
        waiter = _Waiter(position, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self._start_tasks()
        try:
            answer = await wait_for_future(
                waiter.future,
                self._parts.remaining_s(deadline_s),
            )
        finally:
            self._waiters.remove(waiter)
        return answer is True

    def close(self) -> None:
        """End all waiting calls with False."""
        for waiter in self._waiters:
            if not waiter.future.done():
                waiter.future.set_result(False)

    def _start_tasks(self) -> None:
        for replica in self._replicas:
            if replica.name not in self._tasks:
                self._tasks[replica.name] = asyncio.create_task(
                    self._serve_waiters(replica),
                )

    async def _serve_waiters(self, replica: MemberAddress) -> None:
        try:
            while asked := self._open_waiters(replica):
                await self._await_position(replica, asked)
        finally:
            self._tasks.pop(replica.name)

    def _open_waiters(self, replica: MemberAddress) -> tuple[_Waiter, ...]:
        return tuple(
            waiter
            for waiter in self._waiters
            if not waiter.future.done()
            and replica.name not in waiter.replica_names
        )

    async def _await_position(
        self,
        replica: MemberAddress,
        asked: tuple[_Waiter, ...],
    ) -> None:
        lowest_position = min(waiter.position for waiter in asked)
        answer = await self._parts.target.await_position(
            replica,
            self._term,
            lowest_position,
            self._parts.check_timeout_s,
        )
        matched = self._matched_position(replica, answer)
        for waiter in asked:
            if waiter.position <= matched:
                self._add_replica(waiter, replica)
        is_lagging = (
            isinstance(answer, TargetRejected) and answer.reason == _LAGGING
        )
        if matched < lowest_position and not is_lagging:
            await self._parts.clock.sleep(RETRY_PAUSE_S)

    def _matched_position(
        self,
        replica: MemberAddress,
        answer: ControlResult,
    ) -> int:
        match answer:
            case Standing():
                self._superseded.note(answer)
                self._replicated.note(answer)
                if answer.term == self._term:
                    return answer.matched_position
            case TargetRejected():
                self._superseded.note(answer.standing)
            case TargetSilent():
                # The next call opens a new connection, because the current
                # one may be broken while the member is alive.
                self._parts.target.disconnect(replica)
        return -1

    def _add_replica(self, waiter: _Waiter, replica: MemberAddress) -> None:
        waiter.replica_names.add(replica.name)
        is_majority = len(waiter.replica_names) >= self._needed_count
        if is_majority and not waiter.future.done():
            waiter.future.set_result(True)
