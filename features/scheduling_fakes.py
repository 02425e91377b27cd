"""Fakes of the clock, the target and the decision log."""

import asyncio
from typing import Any

from mimosapond.member_address import MemberAddress
from mimosapond.target_results import TargetSilent


class FakeClock:
    """Time that moves only when a test moves it."""

    def __init__(self, now_s: float = 1000) -> None:
        """Start at ``now_s``."""
        self.now_s = now_s
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        """Return the set time."""
        return self.now_s

    def unix_ms(self) -> int:
        """Return the set time in ms."""
        return int(self.now_s * 1000)

    async def sleep(self, delay_s: float) -> None:
        """Wait until a test moves the time."""
        waiter = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.now_s + delay_s, waiter))
        await waiter

    async def advance(self, delay_s: float) -> None:
        """Move the time and wake sleepers in the order of their times."""
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
    """Data connection whose read answers what the test has set."""

    def __init__(self, answer: Any = None) -> None:
        """Start open."""
        self.is_open = True
        self.answer = answer

    async def read(self, statements: Any, timeout_s: float) -> Any:
        """Return the answer; never return when there is none."""
        if self.answer is None:
            await asyncio.get_running_loop().create_future()
        if isinstance(self.answer, TargetSilent):
            self.is_open = False
        return self.answer

    def close(self) -> None:
        """Close."""
        self.is_open = False


class FakeTarget:
    """Opens fake connections, fails, or lets the connect hang."""

    def __init__(self) -> None:
        """Accept connections at once."""
        self.mode = 'open'
        self.answer: Any = None
        self.attempt_count = 0
        self.opened: list[FakeConnection] = []

    @property
    def open_count(self) -> int:
        """Connections that are open now."""
        return sum(connection.is_open for connection in self.opened)

    async def connect(self, member: MemberAddress, timeout_s: float) -> Any:
        """Open a connection in the set mode."""
        self.attempt_count += 1
        if self.mode == 'hang':
            await asyncio.get_running_loop().create_future()
        if self.mode == 'fail':
            return TargetSilent('refused', sent=False)
        self.opened.append(FakeConnection(self.answer))
        return self.opened[-1]


class RecordingDecisions:
    """Keeps decision lines."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[dict[str, Any]] = []

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Keep one line."""
        self.lines.append({'decision': decision, 'reason': reason, **figures})

    def names(self, decision: str) -> list[str]:
        """Return the request ids of all lines with ``decision``."""
        return [
            line['request_id']
            for line in self.lines
            if line['decision'] == decision
        ]


async def settle_tasks() -> None:
    """Let all ready tasks run until they wait."""
    for _ in range(10):
        await asyncio.sleep(0)
