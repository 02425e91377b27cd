"""Fake target port and data connections to the fake members."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, final

from features.terms_member_fakes import FakeMember, SqlRejectedError, run_sql
from mimosapond.member_address import MemberAddress
from mimosapond.statement import Statement
from mimosapond.target_results import (
    ControlResult,
    TargetAnswered,
    TargetRejected,
    TargetResult,
    TargetSilent,
)

_MAX_DELAY_S: Final = 0.002
_POLL_S: Final = 0.001


@final
class FakeConnection:
    """Fake data connection with at most one open transaction."""

    def __init__(
        self,
        host_id: str,
        member: FakeMember,
        jitter: random.Random,
    ) -> None:
        """Connect ``host_id`` to ``member``."""
        self._host_id = host_id
        self._member = member
        self._jitter = jitter
        self._pending: list[Statement] | None = None
        self._term = 0
        self.is_open = True

    @property
    def has_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._pending is not None

    async def read(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run statements on the committed data."""
        return await self._exchange(
            lambda: run_sql(self._member.database(), statements),
            timeout_s,
        )

    async def begin(
        self,
        term: int,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Open a transaction at ``term``."""
        self._term = term
        self._pending = []
        return await self.execute(statements, timeout_s)

    async def execute(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run statements in the transaction."""
        return await self._exchange(lambda: self._run(statements), timeout_s)

    async def commit(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run the last statements and append the transaction to the log."""
        if self._member.held_commit is not None:
            await self._member.held_commit.wait()
        return await self._exchange(
            lambda: self._commit(statements),
            timeout_s,
            is_commit=True,
        )

    async def rollback(self, timeout_s: float) -> TargetResult:
        """Discard the open transaction."""
        return await self._exchange(self._roll_back, timeout_s)

    def close(self) -> None:
        """Close the connection, which rolls an open transaction back."""
        self.is_open = False
        self._pending = None

    def _roll_back(self) -> tuple[()]:
        self._pending = None
        return ()

    def _run(self, statements: Sequence[Statement]) -> tuple[object, ...]:
        rejected = self._member.refuse_write(self._term)
        if rejected is not None:
            raise SqlRejectedError(rejected.reason, rejected.message)
        if self._pending is None:
            raise SqlRejectedError('no_transaction', 'no transaction is open')
        earlier_count = len(self._pending)
        self._pending.extend(statements)
        return run_sql(self._member.database(), self._pending)[earlier_count:]

    def _commit(self, statements: Sequence[Statement]) -> tuple[object, ...]:
        results = self._run(statements)
        self._member.append(tuple(self._pending or ()))
        self._pending = None
        return results

    async def _exchange(
        self,
        action: Callable[[], tuple[object, ...]],
        timeout_s: float,
        *,
        is_commit: bool = False,
    ) -> TargetResult:
        if not self.is_open:
            return TargetSilent('closed', sent=False)
        await asyncio.sleep(self._jitter.uniform(0, _MAX_DELAY_S))
        answer: TargetResult | None = None
        if self._host_id not in self._member.cut_hosts:
            answer = self._run_action(action)
        if is_commit and self._member.held_answer is not None:
            await self._member.held_answer.wait()
        if is_commit and self._member.loses_commit_answer:
            self._member.loses_commit_answer = False
            answer = None
        if answer is None or self._host_id in self._member.cut_hosts:
            return await self._time_out(timeout_s)
        await asyncio.sleep(self._jitter.uniform(0, _MAX_DELAY_S))
        return answer

    def _run_action(
        self, action: Callable[[], tuple[object, ...]]
    ) -> TargetResult:
        try:
            results = action()
        except SqlRejectedError as error:
            self._pending = None
            return TargetRejected(
                error.rejected.reason,
                error.rejected.message,
                self._member.standing(),
            )
        return TargetAnswered(results, self._member.standing())

    async def _time_out(self, timeout_s: float) -> TargetSilent:
        await asyncio.sleep(timeout_s)
        self.close()
        return TargetSilent('no answer in time', sent=True)


@final
class FakeTarget:
    """Fake target port of one host."""

    def __init__(
        self,
        host_id: str,
        members: dict[str, FakeMember],
        jitter: random.Random,
    ) -> None:
        """Connect to ``members`` from the host ``host_id``."""
        self._host_id = host_id
        self._members = members
        self._jitter = jitter

    async def connect(
        self,
        member: MemberAddress,
        timeout_s: float,
    ) -> FakeConnection | TargetSilent:
        """Open a data connection, or time out if the host is cut off."""
        fake = self._members[member.name]
        if self._host_id in fake.cut_hosts:
            await asyncio.sleep(timeout_s)
            return TargetSilent('no answer in time', sent=False)
        return FakeConnection(self._host_id, fake, self._jitter)

    async def status(
        self,
        member: MemberAddress,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> ControlResult:
        """Ask for the standing; a fresh call replaces a silent link."""
        fake = self._members[member.name]
        if fresh and self._host_id not in fake.cut_hosts:
            fake.silent_links.discard(self._host_id)
        return await self._ask(fake, fake.standing, timeout_s)

    async def adopt(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask the member to grant ``term`` to the host ``asker``."""
        fake = self._members[member.name]
        return await self._ask(
            fake,
            lambda: fake.adopt(term, asker),
            timeout_s,
        )

    async def promote(
        self,
        member: MemberAddress,
        term: int,
        asker: str,
        timeout_s: float,
    ) -> ControlResult:
        """Ask the member to become the primary of ``term``."""
        fake = self._members[member.name]
        return await self._ask(
            fake,
            lambda: fake.promote(term, asker),
            timeout_s,
        )

    async def await_position(
        self,
        member: MemberAddress,
        term: int,
        position: int,
        timeout_s: float,
    ) -> ControlResult:
        """Poll until the member's log matches the primary's up to a position."""
        fake = self._members[member.name]
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        answer = await self._ask(fake, fake.standing, timeout_s)
        while not isinstance(answer, TargetSilent):
            if fake.term != term:
                return self._report_change(fake)
            if fake.matched_position >= position:
                return await self._ask(fake, fake.standing, timeout_s)
            if asyncio.get_running_loop().time() >= deadline_s:
                return TargetRejected('timeout', '', fake.standing())
            await asyncio.sleep(_POLL_S)
        return answer

    def disconnect(self, member: MemberAddress) -> None:
        """Drop the pooled link, so that the next call opens a new one."""
        self._members[member.name].silent_links.discard(self._host_id)

    def _report_change(self, fake: FakeMember) -> ControlResult:
        """Report a change of the term as a rejection or as a standing.

        Both are possible, as the term may change between the check and the
        answer. The seeded random source decides.
        """
        if self._jitter.random() < 1 / 2:
            return fake.standing()
        return TargetRejected('term_changed', '', fake.standing())

    async def _ask(
        self,
        fake: FakeMember,
        action: Callable[[], ControlResult],
        timeout_s: float,
    ) -> ControlResult:
        await asyncio.sleep(self._jitter.uniform(0, _MAX_DELAY_S))
        if self._host_id in fake.cut_hosts | fake.silent_links:
            await asyncio.sleep(timeout_s)
            return TargetSilent('no answer in time', sent=True)
        answer = action()
        held = fake.held_controls.get(self._host_id)
        if held is not None:
            await held.wait()
        await asyncio.sleep(self._jitter.uniform(0, _MAX_DELAY_S))
        return answer
