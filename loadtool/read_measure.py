"""Share of reads served by replicas, and reads that were too old.

Sessions write rows whose value only grows and read them through other hosts,
by token or by session id. One replica of each group lags by 20 ms like the
others at first, and by more than the age bound in the second half.
"""

import time
from typing import Any, Final, final

import attrs

from loadtool.arrivals import Phase, poisson_arrivals
from loadtool.load_source import LoadSource
from loadtool.open_loop import run_open_loop
from loadtool.staleness_checker import StalenessChecker
from mimosapond.access_mode import AccessMode
from mimosapond.clock import MS_PER_S
from mimosapond.completed import Completed
from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass

_SESSION_COUNT: Final = 48
_RATE_PER_S: Final = 120
_DURATION_S: Final = 5
_WRITE_SHARE: Final = 0.25
_FOREIGN_SHARE: Final = 0.3
_MAX_AGE_MS: Final = 1000
_BAD_LAG_MS: Final = 1500
_DEADLINE_MS: Final = 3000
_UPSERT: Final = (
    'INSERT INTO orders (id, note, tally) VALUES (?, ?, ?)'
    ' ON CONFLICT (id) DO UPDATE SET tally = max(tally, excluded.tally)'
)
_SELECT: Final = 'SELECT tally FROM orders WHERE id = ?'


@final
@attrs.define
class _Session:
    name: str
    workspace: str
    has_token: bool
    token: str | None = None
    sent: int = 0
    own: int = 0
    is_busy: bool = False


@final
class ReadMeasure:
    """Reads and writes of sessions that roam between hosts."""

    def __init__(self, source: LoadSource) -> None:
        """Use all groups of a started deployment."""
        self._source = source
        self._check = StalenessChecker()
        self._primaries: set[str] = set()
        self._counts = {'replica': 0, 'primary': 0, 'stale': 0, 'failed': 0}
        workspaces = source.deployment.workspaces
        self._sessions = [
            _Session(
                f'board-{number}',
                workspaces[number % len(workspaces)],
                has_token=number % 2 == 0,
            )
            for number in range(_SESSION_COUNT)
        ]

    async def run(self) -> dict[str, float]:
        """Return share of replica reads and number of stale reads."""
        deployment = self._source.deployment
        for group in deployment.groups:
            self._primaries.add(await deployment.primary(group.name))
        await self._run_load()
        for index, _group in enumerate(deployment.groups):
            replicas = await self._source.replicas(index)
            await deployment.set_member_settings(
                replicas[0].name, lag_ms=_BAD_LAG_MS
            )
        await self._run_load()
        for group in deployment.groups:
            for member in group.members:
                lag_ms = deployment.spec.lag_ms
                await deployment.set_member_settings(member.name, lag_ms=lag_ms)
        counts = self._counts
        served_count = counts['replica'] + counts['primary']
        return {
            'replica_read_share_ratio': counts['replica'] / served_count,
            'stale_reads_count': counts['stale'],
            'reads_served_count': served_count,
            'reads_failed_count': counts['failed'],
        }

    async def _run_load(self) -> None:
        arrivals = poisson_arrivals(
            (Phase(_DURATION_S, _RATE_PER_S),),
            self._source.randomness,
        )
        await run_open_loop(arrivals, self._step)

    async def _step(self, number: int, _scheduled_s: float) -> None:
        session = self._sessions[number % _SESSION_COUNT]
        if session.is_busy:
            return
        session.is_busy = True
        draw = self._source.randomness.random()
        try:
            if session.sent == 0 or draw < _WRITE_SHARE:
                await self._write(session)
            elif draw < _WRITE_SHARE + _FOREIGN_SHARE:
                await self._read(session, is_own=False)
            else:
                await self._read(session, is_own=True)
        finally:
            session.is_busy = False

    async def _write(self, session: _Session) -> None:
        session.sent += 1
        number = session.sent
        outcome = await self._source.send(
            self._source.requests.build(
                session.workspace,
                AccessMode.WRITE,
                Statement(_UPSERT, (session.name, 'tally', number)),
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_DEADLINE_MS,
                **_scope(session),
            ),
        )
        if not isinstance(outcome, Completed):
            self._counts['failed'] += 1
            return
        self._check.acknowledge(session.name, number, time.monotonic())
        session.own = number
        if session.has_token:
            session.token = outcome.token

    async def _read(self, session: _Session, *, is_own: bool) -> None:
        asked_s = time.monotonic()
        oldest_allowed = self._check.oldest_allowed(
            session.name, asked_s, _MAX_AGE_MS / MS_PER_S
        )
        outcome = await self._source.send(
            self._source.requests.build(
                session.workspace,
                AccessMode.READ,
                Statement(_SELECT, (session.name,)),
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_DEADLINE_MS,
                max_age_ms=_MAX_AGE_MS,
                **(_scope(session) if is_own else {}),
            ),
        )
        if not isinstance(outcome, Completed):
            self._counts['failed'] += 1
            return
        is_primary = outcome.member in self._primaries
        self._counts['primary' if is_primary else 'replica'] += 1
        own = session.own if is_own else 0
        self._counts['stale'] += self._check.is_stale(
            _value(outcome), own, oldest_allowed
        )


def _scope(session: _Session) -> dict[str, Any]:
    if not session.has_token:
        return {'session_id': session.name}
    return {} if session.token is None else {'token': session.token}


def _value(outcome: Completed) -> int:
    rows = outcome.results[0].rows
    return int(str(rows[0][0])) if rows else 0
