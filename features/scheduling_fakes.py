"""Fakes of the clock, the target and the decision log for tests."""

import asyncio
from typing import Any

from mimosapond.member_address import MemberAddress
from mimosapond.target_results import TargetSilent


class FakeClock:
    """Clock that a test advances."""

    def __init__(self, now_s: float = 1000) -> None:
        """Create a clock that shows ``now_s``."""
        self.now_s = now_s
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        """Return the current time of the test."""
        return self.now_s

    def unix_ms(self) -> int:
        """Return the current time of the test in milliseconds."""
        return int(self.now_s * 1000)

    async def sleep(self, delay_s: float) -> None:
        """Wait until a test has advanced the clock by ``delay_s``."""
        waiter = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.now_s + delay_s, waiter))
        await waiter

    async def advance(self, delay_s: float) -> None:
        """Advance the clock and wake sleeping tasks in the order of time."""
        end_s = self.now_s + delay_s
        await settle_tasks()
        while self._due(end_s):
            sleeper = min(self._due(end_s), key=lambda pair: pair[0])
            self._sleepers.remove(sleeper)
            self.now_s = max(self.now_s, sleeper[0])
            sleeper[1].set_result(None)
            await settle_tasks()
        self.now_s = end_s

    def _due(self, end_s: float) -> list[tuple[float, Any]]:
        return [
            (due_s, waiter)
            for due_s, waiter in self._sleepers
            if due_s <= end_s and not waiter.done()
        ]


class FakeConnection:
    """Data connection whose read returns an answer that the test sets."""

    def __init__(self, answer: Any = None) -> None:
        """Create an open connection."""
        self.is_open = True
        self.answer = answer

    async def read(self, statements: Any, timeout_s: float) -> Any:
        """Return the answer; wait forever if there is none."""
        if self.answer is None:
            await asyncio.get_running_loop().create_future()
        if isinstance(self.answer, TargetSilent):
            self.is_open = False
        return self.answer

    def close(self) -> None:
        """Mark the connection as closed."""
        self.is_open = False


class FakeTarget:
    """Target that opens fake connections, refuses them or never answers.

    Attributes
    ----------
    mode
        ``open``, ``fail`` or ``hang``.
    answer
        Answer of each new connection to a read.
    """

    def __init__(self) -> None:
        """Create a target that accepts connections."""
        self.mode = 'open'
        self.answer: Any = None
        self.attempt_count = 0
        self.opened: list[FakeConnection] = []

    @property
    def open_count(self) -> int:
        """Number of connections that are open now."""
        return sum(connection.is_open for connection in self.opened)

    async def connect(self, member: MemberAddress, timeout_s: float) -> Any:
        """Open a connection, fail or hang, depending on ``mode``."""
        self.attempt_count += 1
        if self.mode == 'hang':
            await asyncio.get_running_loop().create_future()
        if self.mode == 'fail':
            return TargetSilent('refused', sent=False)
        self.opened.append(FakeConnection(self.answer))
        return self.opened[-1]


class RecordingDecisions:
    """Decision log that keeps its lines in memory."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.lines: list[dict[str, Any]] = []

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Append one line."""
        self.lines.append({'decision': decision, 'reason': reason, **figures})

    def names(self, decision: str) -> list[str]:
        """Return the request ids of all lines with ``decision``."""
        return [
            line['request_id']
            for line in self.lines
            if line['decision'] == decision
        ]


async def settle_tasks() -> None:
    """Let all tasks that are ready run until they wait."""
    for _ in range(10):
        await asyncio.sleep(0)
