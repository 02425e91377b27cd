"""A caller's transaction of up to 12 statements."""

import asyncio
import enum
from typing import Final, final

from soak.caller_link import Answer, Done, Refused
from soak.caller_session import CallerSession, now_s
from soak.history import Write

# Codes that promise that nothing of the attempt is kept.
PROMISES: Final = frozenset(
    ('RETRY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'CONNLIMIT'),
)
_LIMIT_COUNT: Final = 12
_READ_ONLY_RATIO: Final = 0.2
_WRITE_RATIO: Final = 0.5
_DEFINE_RATIO: Final = 0.1
_PAUSE_S: Final = 0.08
# Longer than a transaction may rest.
_LONG_PAUSE_S: Final = 1.5
_LONG_RATIO: Final = 0.01


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
    """Runs one transaction and notes what its caller was told."""

    def __init__(self, session: CallerSession, number: int) -> None:
        """Take the session, which is idle."""
        self._session = session
        self._id = f't{number}'
        self._random = session.random
        self._is_read_only = self._random.random() < _READ_ONLY_RATIO
        self._writes: list[Write] = []
        self._started_s = now_s()

    async def run(self) -> bool:
        """Return whether the session can go on."""
        session = self._session
        history = session.world.history
        begin = 'BEGIN READ' if self._is_read_only else 'BEGIN'
        if not isinstance(await session.ask(begin, self._id), Done):
            return False
        is_whole = await self._run_statements()
        if is_whole:
            end = self._random.choice(_ENDS)
            if end is _End.commits:
                return await self._commit()
        history.deny(self._writes, 'no COMMIT was sent')
        self._change_item()
        if is_whole and end is _End.leaves:
            return False
        if not session.link.is_open:
            return False
        return isinstance(await session.ask('ROLLBACK', self._id), Done)

    async def _run_statements(self) -> bool:
        for _ in range(self._random.randint(1, _LIMIT_COUNT)):
            answer = await self._run_statement()
            if not isinstance(answer, Done):
                return False
            self._check_state(answer)
            is_long = self._random.random() < _LONG_RATIO
            limit_s = _LONG_PAUSE_S if is_long else _PAUSE_S
            await asyncio.sleep(self._random.uniform(0, limit_s))
        return True

    async def _run_statement(self) -> Answer:
        session = self._session
        draw = self._random.random()
        if draw < _DEFINE_RATIO:
            return await session.define(self._id)
        if draw < _WRITE_RATIO and not self._is_read_only:
            write, answer = await session.write(self._id)
            self._writes.append(write)
            return answer
        pending = {write.item: write.sequence for write in self._writes}
        return await session.read(pending, self._started_s, self._id)

    def _check_state(self, answer: Done) -> None:
        if answer.state != 'T':
            self._session.world.violations.add(
                'STATE',
                '',
                [f'{self._session.name}.{self._id}'],
                f'{answer.state} inside of a transaction',
            )

    async def _commit(self) -> bool:
        history = self._session.world.history
        answer = await self._session.ask('COMMIT', self._id)
        match answer:
            case Done():
                history.acknowledge(self._writes, now_s())
                return True
            case Refused(code=code) if code in PROMISES:
                history.deny(self._writes, f'COMMIT told {code}')
        self._change_item()
        return isinstance(answer, Refused) and answer.state == 'I'

    def _change_item(self) -> None:
        if self._writes:
            self._session.leave_item()
