"""Runs work that other hosts relay to this host."""

import asyncio
import contextlib
from collections.abc import Collection, Iterator
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.holding import Holding, HoldsAll
from mimosapond.peers.primary_report import PrimaryReport
from mimosapond.peers.work_renewal import (
    RenewedWork,
    is_work_revoked,
    renew_work,
)
from mimosapond.routing import failures
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import Work
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.sessions.transaction import Transaction, TransactionRouting
from mimosapond.statements.reply import Failure, Reply
from mimosapond.statements.statement import Begin

_MS_PER_S: Final = 1000
# Time after the idle timeout at which this host rolls back a relayed
# transaction. The other host normally ends it at the idle timeout; this host
# does so only if the other one is lost.
_IDLE_GRACE_S: Final = 1.0


@final
@attrs.frozen
class RelayedWorkServices:
    """Dependencies of the handler.

    Its probe and routing must not relay, so that relayed work is never passed
    on a second time.
    """

    configuration: ActiveConfiguration
    directory: GroupDirectory
    probe: PrimaryProbe
    reads: ReadRouter
    routing: TransactionRouting
    now: Now
    limits: ServingLimits
    holding: Holding = HoldsAll()
    is_revocation_strict: bool = False


@final
@attrs.define(eq=False)
class _RelayedTransaction:
    transaction: Transaction
    is_running: bool = False
    idle_timer: asyncio.TimerHandle | None = None


@final
class RelayedWorkHandler:
    """Runs relayed statements and keeps open transactions by their key."""

    def __init__(self, services: RelayedWorkServices) -> None:
        """Start without open transactions."""
        self._services = services
        self._open: dict[str, _RelayedTransaction] = {}
        self._running_count = 0
        # While this is set, other hosts are told that no primary is reached,
        # so that they choose another relay.
        self.is_stopping = False

    @property
    def open_count(self) -> int:
        """Number of requests in flight plus transactions that are open."""
        return len(self._open) + self._running_count

    @property
    def open_keys(self) -> Collection[str]:
        """Keys of the open transactions."""
        return self._open.keys()

    async def find_primary(
        self, name: str, max_age_s: float
    ) -> PrimaryReport | None:
        """Return the primary of a group.

        Parameters
        ----------
        max_age_s
            The primary is probed if its last confirmation is older.

        Returns
        -------
        PrimaryReport | None
            None if the group or its primary is unknown, the primary is not
            reached or this host is stopping.
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
            if newest.asked_s < asked_s - max_age_s:
                return None
        age_s = max(asked_s - newest.asked_s, 0)
        return PrimaryReport(primary.member_id, newest.position, age_s)

    async def read(self, work: Work) -> WorkDone:
        """Run a single read."""
        renewed = renew_work(work, self._services.configuration)
        if isinstance(renewed, Failure):
            return WorkDone(renewed)
        self._hold(work.group)
        with self._count_running():
            reply = await self._services.reads.run(renewed)
        return WorkDone(reply)

    async def write(self, work: Work) -> WorkDone:
        """Run a single write."""
        renewed = renew_work(work, self._services.configuration)
        if isinstance(renewed, Failure):
            return WorkDone(renewed)
        self._hold(work.group)
        with self._count_running():
            reply, position = await self._services.routing.writes.run(renewed)
        return WorkDone(reply, position)

    async def run_in_transaction(
        self, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkDone:
        """Run a statement of a transaction.

        The transaction is rolled back if the statement fails.

        Parameters
        ----------
        key
            Key of the transaction.
        is_first
            Whether to begin the transaction.

        Returns
        -------
        WorkDone
            With a failure if the transaction is unknown, if it is to begin
            and its key is in use or its caller is not admitted, or if this host
            stops too soon.
        """
        renewed = self._admit_to_transaction(work, is_first=is_first)
        if isinstance(renewed, Failure):
            self.roll_back(key)
            return WorkDone(renewed)
        self._hold(work.group)
        if not self._services.limits.accepts_statements:
            self.roll_back(key)
            return WorkDone(failures.ROLLED_BACK)
        entry = self._begin(key, begin) if is_first else self._open.get(key)
        if entry is None:
            return WorkDone(failures.ROLLED_BACK)
        self._stop_idle_timer(entry)
        with self._count_running():
            reply = await self._run_statement(entry, renewed)
        if isinstance(reply, Failure):
            self.roll_back(key)
        else:
            self._start_idle_timer(key, entry)
        return WorkDone(reply)

    async def commit(self, key: str, work: Work) -> WorkDone:
        """Commit a transaction; one that is not open was rolled back."""
        if self._is_ended_by_revocation(work) or (
            not self._services.limits.accepts_commits
        ):
            self.roll_back(key)
            return WorkDone(failures.ROLLED_BACK)
        entry = self._open.pop(key, None)
        if entry is None:
            return WorkDone(failures.ROLLED_BACK)
        self._stop_idle_timer(entry)
        with self._count_running():
            reply, position = await entry.transaction.commit(work)
        return WorkDone(reply, position)

    def roll_back(self, key: str) -> None:
        """Roll back a transaction if it is open."""
        entry = self._open.pop(key, None)
        if entry is not None:
            logger.bind(key=key, is_running=entry.is_running).info(
                'relayed_transaction_rolled_back'
            )
            self._stop_idle_timer(entry)
            entry.transaction.abandon()

    def expire(self, key: str) -> None:
        """Roll back a transaction that exceeded its idle timeout."""
        logger.bind(key=key).info('relayed_transaction_expired')
        self.roll_back(key)

    def _admit_to_transaction(
        self, work: Work, *, is_first: bool
    ) -> RenewedWork:
        if is_first:
            return renew_work(work, self._services.configuration)
        if self._is_ended_by_revocation(work):
            return failures.REVOKED_IN_TRANSACTION
        return work

    def _is_ended_by_revocation(self, work: Work) -> bool:
        return self._services.is_revocation_strict and is_work_revoked(
            work, self._services.configuration
        )

    def _hold(self, group: Group) -> None:
        """Hold a group that another host passes work on for."""
        services = self._services
        if services.holding.record_request(group.name):
            logger.bind(group=group.name).info('group_held_on_request')
            services.directory.update_pool_limits()
            group.start_search(services.now())

    def _begin(self, key: str, begin: Begin) -> _RelayedTransaction | None:
        if key in self._open:
            # The statement would run in the transaction of another caller.
            logger.bind(key=key).error('relayed_key_taken')
            return None
        logger.bind(key=key).info('relayed_transaction_begun')
        entry = _RelayedTransaction(Transaction(begin, self._services.routing))
        self._open[key] = entry
        return entry

    async def _run_statement(
        self, entry: _RelayedTransaction, work: Work
    ) -> Reply:
        entry.is_running = True
        try:
            return await entry.transaction.run(work)
        finally:
            entry.is_running = False

    def _start_idle_timer(self, key: str, entry: _RelayedTransaction) -> None:
        idle_ms = self._services.configuration.transaction_idle_timeout_ms
        entry.idle_timer = asyncio.get_running_loop().call_later(
            idle_ms / _MS_PER_S + _IDLE_GRACE_S, self.expire, key
        )

    def _stop_idle_timer(self, entry: _RelayedTransaction) -> None:
        if entry.idle_timer is not None:
            entry.idle_timer.cancel()
            entry.idle_timer = None

    @contextlib.contextmanager
    def _count_running(self) -> Iterator[None]:
        self._running_count += 1
        try:
            yield
        finally:
            self._running_count -= 1
