"""A caller's transaction of up to 12 statements."""

import asyncio
import enum
from typing import Final, final

from soak.caller_connection import Answer, ErrorAnswer, Success
from soak.caller_session import CallerSession, now_s
from soak.history import Write

# Error codes that guarantee that nothing of the attempt was committed.
NOT_APPLIED_CODES: Final = frozenset(
    ('RETRY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT'),
)
_MAX_STATEMENT_COUNT: Final = 12
_READ_ONLY_RATIO: Final = 0.2
_WRITE_RATIO: Final = 0.5
_SET_MODE_RATIO: Final = 0.1
_MAX_PAUSE_S: Final = 0.08
# Longer than the limit for idle transactions.
_MAX_LONG_PAUSE_S: Final = 1.5
_LONG_PAUSE_RATIO: Final = 0.01
# A little shorter than that limit.
_MAX_CROWDED_PAUSE_S: Final = 0.9


@final
class _End(enum.Enum):
    commits = 'commits'
    rolls_back = 'rolls back'
    leaves = 'leaves'


_ENDS: Final = (
    *(_End.commits,) * 8,
    _End.rolls_back,
    _End.leaves,
)


@final
class CallerTransaction:
    """Runs one transaction and records its outcome in the history."""

    def __init__(self, session: CallerSession, number: int) -> None:
        """Create the transaction ``number`` of an idle session."""
        self._session = session
        self._id = f't{number}'
        self._random = session.random
        self._is_read_only = self._random.random() < _READ_ONLY_RATIO
        self._writes: list[Write] = []
        self._started_s = now_s()

    async def run(self) -> bool:
        """Run the transaction; False if the session must be closed."""
        session = self._session
        history = session.shared.history
        begin = 'BEGIN READ' if self._is_read_only else 'BEGIN'
        if not isinstance(await session.ask(begin, self._id), Success):
            return False
        is_complete = await self._run_statements()
        if is_complete:
            end = self._random.choice(_ENDS)
            if end is _End.commits:
                return await self._commit()
        history.record_not_applied(self._writes, 'no COMMIT was sent')
        self._switch_written_item()
        if is_complete and end is _End.leaves:
            return False
        if not session.connection.is_open:
            return False
        return isinstance(await session.ask('ROLLBACK', self._id), Success)

    async def _run_statements(self) -> bool:
        for _ in range(self._random.randint(1, _MAX_STATEMENT_COUNT)):
            answer = await self._run_statement()
            if not isinstance(answer, Success):
                return False
            self._check_state(answer)
            await asyncio.sleep(self._draw_pause_s())
        return True

    def _draw_pause_s(self) -> float:
        if self._session.shared.is_crowded:
            return self._random.uniform(0, _MAX_CROWDED_PAUSE_S)
        is_long = self._random.random() < _LONG_PAUSE_RATIO
        max_pause_s = _MAX_LONG_PAUSE_S if is_long else _MAX_PAUSE_S
        return self._random.uniform(0, max_pause_s)

    async def _run_statement(self) -> Answer:
        session = self._session
        draw = self._random.random()
        if draw < _SET_MODE_RATIO:
            return await session.set_mode(self._id)
        if draw < _WRITE_RATIO and not self._is_read_only:
            write, answer = await session.write(self._id)
            self._writes.append(write)
            return answer
        pending = {write.item: write.sequence for write in self._writes}
        return await session.read(pending, self._started_s, self._id)

    def _check_state(self, answer: Success) -> None:
        if answer.state != 'T':
            self._session.shared.violations.add(
                'STATE',
                '',
                [f'{self._session.name}.{self._id}'],
                f'session state {answer.state} inside a transaction',
            )

    async def _commit(self) -> bool:
        history = self._session.shared.history
        answer = await self._session.ask('COMMIT', self._id)
        match answer:
            case Success():
                history.record_acknowledged(self._writes, now_s())
                return True
            case ErrorAnswer(code=code) if code in NOT_APPLIED_CODES:
                history.record_not_applied(
                    self._writes, f'COMMIT was answered with {code}'
                )
        self._switch_written_item()
        return isinstance(answer, ErrorAnswer) and answer.state == 'I'

    def _switch_written_item(self) -> None:
        if self._writes:
            self._session.switch_item()
