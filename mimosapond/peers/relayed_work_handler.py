"""Work that this host carries out for other hosts."""

import asyncio
import contextlib
from collections.abc import Collection, Iterator
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.peers.peer_client import PrimaryReport
from mimosapond.routing import failures
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import Work
from mimosapond.sessions.transaction import Transaction, TransactionRouting
from mimosapond.statements.reply import Failure, Reply
from mimosapond.statements.statement import Begin

_MS_PER_S: Final = 1000
# The other host ends a transaction that rests too long; if it is lost, this
# host does so a little later.
_IDLE_GRACE_S: Final = 1.0


@final
@attrs.frozen
class PeerServices:
    """What the desk uses; its routing passes nothing on to other hosts."""

    configuration: ActiveConfiguration
    directory: GroupDirectory
    probe: PrimaryProbe
    reads: ReadRouter
    routing: TransactionRouting
    now: Now


@final
@attrs.define(eq=False)
class _OpenEntry:
    transaction: Transaction
    is_running: bool = False
    timer: asyncio.TimerHandle | None = None


@final
class RelayedWorkHandler:
    """Carries out single writes and keeps transactions by their key."""

    def __init__(self, services: PeerServices) -> None:
        """Start without work."""
        self._services = services
        self._open: dict[str, _OpenEntry] = {}
        self._running_count = 0
        # Whether other hosts should look elsewhere, as this one stops.
        self.is_stopping = False

    @property
    def open_count(self) -> int:
        """Requests under way and transactions that have not ended."""
        return len(self._open) + self._running_count

    @property
    def open_keys(self) -> Collection[str]:
        """Keys of the transactions that have not ended."""
        return self._open.keys()

    async def find_primary(
        self, name: str, max_age_s: float
    ) -> PrimaryReport | None:
        """Return the primary of a group; None if it is not reached.

        Parameters
        ----------
        max_age_s
            It is probed if the last proof is older.
        """
        group = self._services.directory.groups.get(name)
        if group is None or group.primary is None or self.is_stopping:
            return None
        primary = group.primary
        asked_s = self._services.now()
        newest = group.observations.newest
        if newest is None or asked_s - newest.asked_s > max_age_s:
            result = await self._services.probe.ask(group, primary)
            newest = group.observations.newest
            if result is not ProbeResult.leads or newest is None:
                return None
        age_s = max(asked_s - newest.asked_s, 0)
        return PrimaryReport(primary.member_id, newest.position, age_s)

    async def read(self, work: Work) -> WorkDone:
        """Carry out a single read."""
        with self._running():
            reply = await self._services.reads.run(work)
        return WorkDone(reply)

    async def write(self, work: Work) -> WorkDone:
        """Carry out a single write."""
        with self._running():
            reply, position = await self._services.routing.writes.run(work)
        return WorkDone(reply, position)

    async def run_in(
        self, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkDone:
        """Run a statement of a transaction; the first one opens it."""
        entry = self._begin(key, begin) if is_first else self._open.get(key)
        if entry is None:
            return WorkDone(failures.ROLLED_BACK)
        self._stop_timer(entry)
        with self._running():
            reply = await self._run_in(entry, work)
        if isinstance(reply, Failure):
            self.roll_back(key)
        else:
            self._start_timer(key, entry)
        return WorkDone(reply)

    async def commit(self, key: str, work: Work) -> WorkDone:
        """End a transaction."""
        entry = self._open.pop(key, None)
        if entry is None:
            return WorkDone(failures.ROLLED_BACK)
        self._stop_timer(entry)
        with self._running():
            reply, position = await entry.transaction.commit(work)
        return WorkDone(reply, position)

    def roll_back(self, key: str) -> None:
        """Roll a transaction back, if it is open."""
        entry = self._open.pop(key, None)
        if entry is not None:
            logger.bind(key=key, is_running=entry.is_running).info(
                'relayed_transaction_rolled_back'
            )
            self._stop_timer(entry)
            entry.transaction.abandon()

    def expire(self, key: str) -> None:
        """Roll back a transaction whose host fell silent."""
        logger.bind(key=key).info('relayed_transaction_expired')
        self.roll_back(key)

    def _begin(self, key: str, begin: Begin) -> _OpenEntry | None:
        if key in self._open:
            # Its statements would run in the transaction of another caller.
            logger.bind(key=key).error('relayed_key_taken')
            return None
        logger.bind(key=key).info('relayed_transaction_begun')
        entry = _OpenEntry(Transaction(begin, self._services.routing))
        self._open[key] = entry
        return entry

    async def _run_in(self, entry: _OpenEntry, work: Work) -> Reply:
        entry.is_running = True
        try:
            return await entry.transaction.run(work)
        finally:
            entry.is_running = False

    def _start_timer(self, key: str, entry: _OpenEntry) -> None:
        idle_ms = self._services.configuration.transaction_idle_timeout_ms
        entry.timer = asyncio.get_running_loop().call_later(
            idle_ms / _MS_PER_S + _IDLE_GRACE_S, self.expire, key
        )

    def _stop_timer(self, entry: _OpenEntry) -> None:
        if entry.timer is not None:
            entry.timer.cancel()
            entry.timer = None

    @contextlib.contextmanager
    def _running(self) -> Iterator[None]:
        self._running_count += 1
        try:
            yield
        finally:
            self._running_count -= 1
