"""Measures the share of reads that replicas serve, and stale reads.

Each session writes one row, whose value only grows, and reads it through any
host. Half of the sessions send a token, the others their session id. In the
first half of the load, all replicas have the lag of the deployment. In the
second half, the lag of one replica of each group exceeds the age bound.
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
_WRITE_RATIO: Final = 0.25
_FOREIGN_READ_RATIO: Final = 0.3
_MAX_AGE_MS: Final = 1000
_EXCESSIVE_LAG_MS: Final = 1500
_DEADLINE_MS: Final = 3000
_UPSERT: Final = (
    'INSERT INTO orders (id, note, tally) VALUES (?, ?, ?)'
    ' ON CONFLICT (id) DO UPDATE SET tally = max(tally, excluded.tally)'
)
_SELECT: Final = 'SELECT tally FROM orders WHERE id = ?'


@final
@attrs.define
class _Session:
    """A session and the values that it wrote.

    Attributes
    ----------
    name
        Session id, and id of the row that the session writes.
    uses_token
        Whether requests carry the token of the last write instead of the
        session id.
    last_sent, last_acknowledged
        Highest value that was sent, and that was acknowledged; 0 before the
        first.
    is_busy
        Whether a request of the session is in flight.
    """

    name: str
    workspace: str
    uses_token: bool
    token: str | None = None
    last_sent: int = 0
    last_acknowledged: int = 0
    is_busy: bool = False


@final
class ReadMeasure:
    """Runs sessions whose requests go to any host, and checks their reads."""

    def __init__(self, source: LoadSource) -> None:
        """Spread the sessions over all groups of a started deployment."""
        self._source = source
        self._check = StalenessChecker()
        self._primaries: set[str] = set()
        self._counts = {'replica': 0, 'primary': 0, 'stale': 0, 'failed': 0}
        workspaces = source.deployment.workspaces
        self._sessions = [
            _Session(
                f'board-{number}',
                workspaces[number % len(workspaces)],
                uses_token=number % 2 == 0,
            )
            for number in range(_SESSION_COUNT)
        ]

    async def run(self) -> dict[str, float]:
        """Return the share of replica reads, and numbers of reads.

        A read is stale if it misses a write of its own session or a write
        that is older than the age bound. Failed requests, writes included,
        are counted as ``reads_failed_count``.
        """
        deployment = self._source.deployment
        for group in deployment.groups:
            self._primaries.add(await deployment.primary(group.name))
        await self._run_load()
        for index, _group in enumerate(deployment.groups):
            replicas = await self._source.replicas(index)
            await deployment.set_member_settings(
                replicas[0].name, lag_ms=_EXCESSIVE_LAG_MS
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
        await run_open_loop(arrivals, self._run_step)

    async def _run_step(self, number: int, _scheduled_s: float) -> None:
        session = self._sessions[number % _SESSION_COUNT]
        if session.is_busy:
            return
        session.is_busy = True
        choice = self._source.randomness.random()
        try:
            if session.last_sent == 0 or choice < _WRITE_RATIO:
                await self._write(session)
            elif choice < _WRITE_RATIO + _FOREIGN_READ_RATIO:
                await self._read(session, is_own=False)
            else:
                await self._read(session, is_own=True)
        finally:
            session.is_busy = False

    async def _write(self, session: _Session) -> None:
        session.last_sent += 1
        number = session.last_sent
        outcome = await self._source.send(
            self._source.requests.build(
                session.workspace,
                AccessMode.WRITE,
                Statement(_UPSERT, (session.name, 'tally', number)),
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_DEADLINE_MS,
                **_session_fields(session),
            ),
        )
        if not isinstance(outcome, Completed):
            self._counts['failed'] += 1
            return
        self._check.acknowledge(session.name, number, time.monotonic())
        session.last_acknowledged = number
        if session.uses_token:
            session.token = outcome.token

    async def _read(self, session: _Session, *, is_own: bool) -> None:
        started_s = time.monotonic()
        oldest_allowed = self._check.oldest_allowed(
            session.name, started_s, _MAX_AGE_MS / MS_PER_S
        )
        outcome = await self._source.send(
            self._source.requests.build(
                session.workspace,
                AccessMode.READ,
                Statement(_SELECT, (session.name,)),
                work_class=WorkClass.INTERACTIVE,
                deadline_ms=_DEADLINE_MS,
                max_age_ms=_MAX_AGE_MS,
                **(_session_fields(session) if is_own else {}),
            ),
        )
        if not isinstance(outcome, Completed):
            self._counts['failed'] += 1
            return
        is_primary = outcome.member in self._primaries
        self._counts['primary' if is_primary else 'replica'] += 1
        last_acknowledged = session.last_acknowledged if is_own else 0
        self._counts['stale'] += self._check.is_stale(
            _read_value(outcome), last_acknowledged, oldest_allowed
        )


def _session_fields(session: _Session) -> dict[str, Any]:
    if not session.uses_token:
        return {'session_id': session.name}
    return {} if session.token is None else {'token': session.token}


def _read_value(outcome: Completed) -> int:
    rows = outcome.results[0].rows
    return int(str(rows[0][0])) if rows else 0
