"""A session that sends random requests to random hosts."""

import asyncio
import random
from typing import Final, final

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.recording_client import RecordingClient, LogicalWrite
from loadtool.workload_statements import (
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
_MAX_THINK_TIME_S: Final = 0.05
# The second attempt of a hedge follows after up to a tenth of this time.
_HEDGE_DELAY_RANGE_S: Final = 0.3
_MAX_ENTRY_COUNT: Final = 3
_MAX_ATTEMPT_COUNT: Final = 4
_RETRY_AFTER_REFUSAL_RATIO: Final = 0.3
_COMMIT_RATIO: Final = 0.8
_PRIMARY_DURABILITY_RATIO: Final = 0.3
# Each action is as likely as the number of times that it is listed.
_ACTIONS: Final = (
    *('write', 'write', 'write', 'read', 'read', 'read', 'read'),
    *('transact', 'hedge', 'settle_early'),
)


@final
class WorkloadSession:
    """Sends one request at a time, except for hedged attempts of one write.

    Attributes
    ----------
    open_writes
        Writes whose outcome is unknown and was not queried yet.
    """

    def __init__(
        self,
        deployment: Deployment,
        calls: RecordingClient,
        randomness: random.Random,
        session: str,
        group_index: int,
    ) -> None:
        """Send requests for the workspace of the group ``group_index``."""
        self._deployment = deployment
        self._calls = calls
        self._random = randomness
        self._session = session
        self._group = deployment.groups[group_index].name
        self._workspace = deployment.workspaces[group_index]
        self._requests = RequestFactory(deployment.spec.service)
        self._token: str | None = None
        self._sequence = 0
        self._mark_count = 0
        self._is_stopping = False
        self.open_writes: list[LogicalWrite] = []

    async def run(self) -> None:
        """Send requests until ``stop`` is called and the last request ends."""
        while not self._is_stopping:
            await self.step()
            await asyncio.sleep(self._random.uniform(0, _MAX_THINK_TIME_S))

    def stop(self) -> None:
        """Make ``run`` return after the current request."""
        self._is_stopping = True

    async def step(self) -> None:
        """Send a random request, with retries in some cases."""
        match self._random.choice(_ACTIONS):
            case 'read':
                await self._read()
            case 'transact':
                await self._transact()
            case 'hedge':
                await self._race(settles=False)
            case 'settle_early':
                await self._race(settles=True)
            case _:
                await self._write()

    async def write_durably(self) -> bool:
        """Send a replicated write and tell whether it was acknowledged."""
        write = self._build(RequestKind.WRITE, Durability.REPLICATED)
        return self._store_token(
            await self._calls.write(self._random_host(), write)
        )

    async def settle_open(self) -> None:
        """Query the outcomes of ``open_writes``, one after the other."""
        for write in self.open_writes:
            await self._settle(write)

    async def _write(self) -> None:
        write = self._build(RequestKind.WRITE, self._random_durability())
        for _ in range(_MAX_ATTEMPT_COUNT):
            record = await self._calls.write(self._random_host(), write)
            if self._store_token(record) or not await self._should_retry(
                record, write
            ):
                return

    async def _should_retry(
        self, record: HistoryRecord, write: LogicalWrite
    ) -> bool:
        if record.outcome is Result.REFUSED:
            return self._is_drawn(_RETRY_AFTER_REFUSAL_RATIO)
        match self._random.choice(('again', 'settle', 'leave')):
            case 'again':
                return True
            case 'settle':
                await self._settle(write)
            case _:
                self.open_writes.append(write)
        return False

    async def _transact(self) -> None:
        write = self._build(RequestKind.TRANSACTION, self._random_durability())
        record = await self._calls.transact(
            self._random_host(),
            write,
            is_committed=self._is_drawn(_COMMIT_RATIO),
        )
        self._store_token(record)
        if record.outcome is Result.UNKNOWN:
            self.open_writes.append(write)

    async def _race(self, *, settles: bool) -> None:
        """Run an attempt of a write concurrently with a second request.

        The second request is another attempt, or an outcome query if
        ``settles`` is set.
        """
        write = self._build(RequestKind.WRITE, self._random_durability())
        first = asyncio.create_task(
            self._calls.write(self._random_host(), write)
        )
        await asyncio.sleep(self._random.uniform(0, _HEDGE_DELAY_RANGE_S) / 10)
        if settles:
            await self._settle(write)
        else:
            self._store_token(
                await self._calls.write(self._random_host(), write)
            )
        self._store_token(await first)

    async def _settle(self, write: LogicalWrite) -> None:
        self._store_token(await self._calls.settle(self._random_host(), write))

    async def _read(self) -> None:
        session_reference = self._random.choice(('session', 'token', 'none'))
        nonce = self._next_mark()
        request = self._requests.build(
            self._workspace,
            AccessMode.READ,
            *read_statements(nonce),
            deadline_ms=self._random.choice(_DEADLINES_MS),
            max_age_ms=self._random.choice(_MAX_AGES_MS),
            session_id=self._session
            if session_reference == 'session'
            else None,
            token=self._token if session_reference == 'token' else None,
        )
        record = await self._calls.read(
            self._random_host(),
            self._group,
            self._session,
            nonce,
            request,
        )
        if record.reason == 'session_write_lost':
            self._token = None

    def _store_token(self, record: HistoryRecord) -> bool:
        is_completed = record.outcome is Result.COMPLETED
        if is_completed and record.token is not None:
            self._token = record.token
        return is_completed

    def _build(self, kind: RequestKind, durability: Durability) -> LogicalWrite:
        self._sequence += 1
        mark = self._next_mark()
        entry_count = self._random.randint(0, _MAX_ENTRY_COUNT)
        statements = write_statements(
            mark,
            self._session,
            self._sequence,
            entry_count,
        )
        steps: tuple[tuple[Statement, ...], ...] = (statements,)
        if kind is RequestKind.TRANSACTION:
            # The answer to the second step must return the nonce as well.
            steps = (statements[:2], (statements[0], *statements[2:]))
        return LogicalWrite(
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

    def _random_durability(self) -> Durability:
        if self._is_drawn(_PRIMARY_DURABILITY_RATIO):
            return Durability.PRIMARY
        return Durability.REPLICATED

    def _is_drawn(self, ratio: float) -> bool:
        return self._random.random() < ratio

    def _next_mark(self) -> str:
        self._mark_count += 1
        return f'{self._session}.{self._mark_count}'

    def _random_host(self) -> DeployedHost:
        return self._random.choice(self._deployment.hosts)
