"""One session that roams over all hosts and decides what to do next."""

import asyncio
import random
from typing import Final, final

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.proof_calls import ProofCalls, ProofWrite
from loadtool.proof_statements import (
    FIXED_PART_COUNT,
    read_statements,
    write_statements,
)
from loadtool.request_factory import RequestFactory
from mimosapond.access_mode import AccessMode
from mimosapond.durability import Durability
from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass

_DEADLINES_MS: Final = (700, 1500, 3000)
_MAX_AGES_MS: Final = (0, 150, 1000, 5000)
_LONGEST_THINK_S: Final = 0.05
_LONGEST_HEDGE_S: Final = 0.3
_MOST_ENTRIES: Final = 3
_TRY_COUNT: Final = 4
_AGAIN_RATIO: Final = 0.3
_COMMIT_RATIO: Final = 0.8
_PRIMARY_RATIO: Final = 0.3
# Relative frequencies of what a session does.
_ACTIONS: Final = (
    *('write', 'write', 'write', 'read', 'read', 'read', 'read'),
    *('transact', 'hedge', 'settle_early'),
)


@final
class ProofCaller:
    """One request at a time, but for hedged tries of one request id."""

    def __init__(
        self,
        deployment: Deployment,
        calls: ProofCalls,
        randomness: random.Random,
        session: str,
        group_index: int,
    ) -> None:
        """Work on the group ``group_index``."""
        self._deployment = deployment
        self._calls = calls
        self._random = randomness
        self._session = session
        self._group = deployment.groups[group_index].name
        self._workspace = deployment.workspaces[group_index]
        self._requests = RequestFactory(deployment.spec.service)
        self._token: str | None = None
        self._sequence = 0
        self._number = 0
        self._is_stopping = False
        self.open_writes: list[ProofWrite] = []

    async def run(self) -> None:
        """Make requests until ``stop``; the last one is finished."""
        while not self._is_stopping:
            await self.step()
            await asyncio.sleep(self._random.uniform(0, _LONGEST_THINK_S))

    def stop(self) -> None:
        """Begin no further request."""
        self._is_stopping = True

    async def step(self) -> None:
        """Make one request and, perhaps, further tries of it."""
        match self._random.choice(_ACTIONS):
            case 'read':
                await self._read()
            case 'transact':
                await self._transact()
            case 'hedge':
                await self._hedge(is_settled=False)
            case 'settle_early':
                await self._hedge(is_settled=True)
            case _:
                await self._write()

    async def write_durably(self) -> bool:
        """Tell whether a write is in force on a majority."""
        write = self._build(RequestKind.WRITE, Durability.REPLICATED)
        return self._learn(await self._calls.write(self._host(), write))

    async def settle_open(self) -> None:
        """Settle, one by one, the writes whose outcome is not known."""
        for write in self.open_writes:
            await self._settle(write)

    async def _write(self) -> None:
        write = self._build(RequestKind.WRITE, self._durability())
        for _ in range(_TRY_COUNT):
            told = await self._calls.write(self._host(), write)
            if self._learn(told) or not await self._goes_on(told, write):
                return

    async def _goes_on(self, told: HistoryRecord, write: ProofWrite) -> bool:
        if told.outcome is Result.REFUSED:
            return self._chance(_AGAIN_RATIO)
        match self._random.choice(('again', 'settle', 'leave')):
            case 'again':
                return True
            case 'settle':
                await self._settle(write)
            case _:
                self.open_writes.append(write)
        return False

    async def _transact(self) -> None:
        write = self._build(RequestKind.TRANSACTION, self._durability())
        told = await self._calls.transact(
            self._host(),
            write,
            is_kept=self._chance(_COMMIT_RATIO),
        )
        self._learn(told)
        if told.outcome is Result.UNKNOWN:
            self.open_writes.append(write)

    async def _hedge(self, *, is_settled: bool) -> None:
        """Let two tries, or a try and its settlement, race."""
        write = self._build(RequestKind.WRITE, self._durability())
        first = asyncio.create_task(self._calls.write(self._host(), write))
        await asyncio.sleep(self._random.uniform(0, _LONGEST_HEDGE_S) / 10)
        if is_settled:
            await self._settle(write)
        else:
            self._learn(await self._calls.write(self._host(), write))
        self._learn(await first)

    async def _settle(self, write: ProofWrite) -> None:
        self._learn(await self._calls.settle(self._host(), write))

    async def _read(self) -> None:
        style = self._random.choice(('session', 'token', 'none'))
        nonce = self._next_mark()
        request = self._requests.build(
            self._workspace,
            AccessMode.READ,
            *read_statements(nonce),
            deadline_ms=self._random.choice(_DEADLINES_MS),
            max_age_ms=self._random.choice(_MAX_AGES_MS),
            session_id=self._session if style == 'session' else None,
            token=self._token if style == 'token' else None,
        )
        told = await self._calls.read(
            self._host(),
            self._group,
            self._session,
            nonce,
            request,
        )
        if told.reason == 'session_write_lost':
            self._token = None

    def _learn(self, told: HistoryRecord) -> bool:
        is_completed = told.outcome is Result.COMPLETED
        if is_completed and told.token is not None:
            self._token = told.token
        return is_completed

    def _build(self, kind: RequestKind, durability: Durability) -> ProofWrite:
        self._sequence += 1
        mark = self._next_mark()
        entry_count = self._random.randint(0, _MOST_ENTRIES)
        statements = write_statements(
            mark,
            self._session,
            self._sequence,
            entry_count,
        )
        steps: tuple[tuple[Statement, ...], ...] = (statements,)
        if kind is RequestKind.TRANSACTION:
            # The second step begins with the nonce as well.
            steps = (statements[:2], (statements[0], *statements[2:]))
        return ProofWrite(
            request=self._requests.build(
                self._workspace,
                AccessMode.WRITE,
                work_class=self._random.choice(tuple(WorkClass)),
                deadline_ms=self._random.choice(_DEADLINES_MS),
                durability=durability,
                session_id=self._session,
            ),
            mark=mark,
            group=self._group,
            session=self._session,
            sequence=self._sequence,
            part_count=entry_count + FIXED_PART_COUNT,
            steps=steps,
        )

    def _durability(self) -> Durability:
        if self._chance(_PRIMARY_RATIO):
            return Durability.PRIMARY
        return Durability.REPLICATED

    def _chance(self, ratio: float) -> bool:
        return self._random.random() < ratio

    def _next_mark(self) -> str:
        self._number += 1
        return f'{self._session}.{self._number}'

    def _host(self) -> DeployedHost:
        return self._random.choice(self._deployment.hosts)
