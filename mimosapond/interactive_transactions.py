"""Interactive transactions of one held term.

The id is looked up at the begin and inserted with the commit: a row inserted
at the begin would hold its lock while the caller thinks.
"""

import contextlib
import secrets
from collections.abc import AsyncIterator, Sequence
from typing import Final, final

from mimosapond.completed import Completed
from mimosapond.errors import refuse
from mimosapond.held_term import HeldTerm
from mimosapond.landed import Landed
from mimosapond.ledger_access import LedgerAccess
from mimosapond.open_transaction import OpenTransaction
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from mimosapond.target_results import TargetAnswered
from mimosapond.term_ticket import run_ticket
from mimosapond.term_writer import TermWriter
from mimosapond.transaction_steps import TransactionSteps
from mimosapond.unknown import Unknown

# An entry host that died never ends its transactions; without a limit each
# would keep one of the member's few connections forever.
IDLE_LIMIT_S: Final = 30
# The answer to a begin may be lost with a link or an entry host. Nobody knows
# the transaction then, and others would wait for its locks until the idle
# limit: proof runs saw a group without writes for 31 s.
UNCONFIRMED_LIMIT_S: Final = 1
_ID_BYTES: Final = 12


@final
class InteractiveTransactions:
    """Open transactions by id."""

    def __init__(
        self,
        held: HeldTerm,
        access: LedgerAccess,
        writer: TermWriter,
    ) -> None:
        """Start without open transactions."""
        self._held = held
        self._access = access
        self._steps = TransactionSteps(held, access, writer)
        self._open: dict[str, OpenTransaction] = {}

    @property
    def open_count(self) -> int:
        """Transactions that have not ended."""
        return len(self._open)

    def request_id(self, transaction_id: str) -> str | None:
        """Return the id under which the transaction will be recorded."""
        transaction = self._open.get(transaction_id)
        if transaction is None:
            return None
        return transaction.run.request.request_id

    async def begin(self, run: PeerRun, deadline_s: float) -> Outcome:
        """Open a transaction and run its first statements."""
        request = run.request
        grant = await self._held.slots.acquire(
            run_ticket(
                self._held.view,
                run,
                request.statements,
                deadline_s,
                keeps_connection=True,
            ),
        )
        if isinstance(grant, Refused):
            return grant
        now_s = self._held.parts.clock.monotonic_s()
        transaction = OpenTransaction(run, grant, now_s)
        try:
            begun = await self._steps.begin(grant, run, deadline_s)
        except BaseException:
            transaction.end(is_clean=False)
            raise
        match begun:
            case Landed():
                transaction.end(is_clean=True)
                return await self._steps.conclude(run, begun, deadline_s)
            case Refused() | Unknown():
                transaction.end(is_clean=True)
                return begun
            case _:
                return self._register(transaction, begun)

    async def execute(
        self,
        transaction_id: str,
        statements: Sequence[Statement],
        deadline_s: float,
    ) -> Outcome:
        """Run statements in an open transaction."""
        transaction = self._open.get(transaction_id)
        if transaction is None:
            return _missing(transaction_id)
        async with self._use(transaction_id, transaction):
            refused = await self._resume(
                transaction_id,
                statements,
                deadline_s,
            )
            if refused is not None:
                return refused
            answer = await transaction.connection.execute(
                statements,
                self._held.parts.remaining_s(deadline_s),
            )
            if isinstance(answer, TargetAnswered):
                transaction.grant.park()
                return self._completed(transaction_id, answer.results)
            refused = self._access.after_failure(
                transaction.connection,
                answer,
            )
            transaction.end(is_clean=True)
            return refused

    async def commit(self, transaction_id: str, deadline_s: float) -> Outcome:
        """Commit; the id is recorded in the same transaction."""
        transaction = self._open.get(transaction_id)
        if transaction is None:
            return _missing(transaction_id)
        async with self._use(transaction_id, transaction):
            refused = await self._resume(transaction_id, (), deadline_s)
            if refused is not None:
                return refused
            attempt = await self._steps.commit(transaction, deadline_s)
            transaction.end(is_clean=True)
        if not isinstance(attempt, Landed):
            return attempt
        return await self._steps.conclude(transaction.run, attempt, deadline_s)

    async def rollback(
        self,
        transaction_id: str,
        deadline_s: float,
    ) -> Outcome:
        """Roll back; a silent connection is closed to the same effect."""
        transaction = self._open.get(transaction_id)
        if transaction is None:
            return _missing(transaction_id)
        async with self._use(transaction_id, transaction):
            if transaction.is_ended:
                return _missing(transaction_id)
            answer = await transaction.connection.rollback(
                self._held.parts.remaining_s(deadline_s),
            )
            transaction.end(is_clean=isinstance(answer, TargetAnswered))
        return self._completed(transaction_id, ())

    def confirm(self, transaction_id: str) -> None:
        """Note that the entry host knows the transaction."""
        transaction = self._open.get(transaction_id)
        if transaction is not None:
            transaction.is_confirmed = True

    def abort_idle(self) -> None:
        """End transactions whose caller went away."""
        now_s = self._held.parts.clock.monotonic_s()
        for transaction_id, transaction in tuple(self._open.items()):
            limit_s = UNCONFIRMED_LIMIT_S
            if transaction.is_confirmed:
                limit_s = IDLE_LIMIT_S
            if now_s - transaction.used_s > limit_s:
                self._abort(transaction_id, transaction)

    def close(self) -> None:
        """End all transactions; calls in progress end their own."""
        for transaction_id, transaction in tuple(self._open.items()):
            self._abort(transaction_id, transaction)

    def _abort(self, transaction_id: str, transaction: OpenTransaction) -> None:
        if not transaction.lock.locked():
            transaction.end(is_clean=False)
            self._open.pop(transaction_id, None)

    def _register(
        self,
        transaction: OpenTransaction,
        results: tuple[StatementResult, ...],
    ) -> Outcome:
        if self._held.is_closed:
            transaction.end(is_clean=False)
            return self._held.refuse_not_owner()
        host_id = self._held.parts.host_id
        transaction_id = f'{host_id}/{secrets.token_urlsafe(_ID_BYTES)}'
        transaction.grant.park()
        # The begin may have waited for a lock for long.
        transaction.used_s = self._held.parts.clock.monotonic_s()
        self._open[transaction_id] = transaction
        return self._completed(transaction_id, results)

    @contextlib.asynccontextmanager
    async def _use(
        self,
        transaction_id: str,
        transaction: OpenTransaction,
    ) -> AsyncIterator[None]:
        transaction.is_confirmed = True
        async with transaction.lock:
            is_answered = False
            try:
                yield
                is_answered = True
            finally:
                self._after_use(
                    transaction_id,
                    transaction,
                    is_answered=is_answered,
                )

    def _after_use(
        self,
        transaction_id: str,
        transaction: OpenTransaction,
        *,
        is_answered: bool,
    ) -> None:
        transaction.used_s = self._held.parts.clock.monotonic_s()
        if self._held.is_closed or not is_answered:
            transaction.end(is_clean=False)
        if transaction.is_ended:
            self._open.pop(transaction_id, None)

    async def _resume(
        self,
        transaction_id: str,
        statements: Sequence[Statement],
        deadline_s: float,
    ) -> Refused | None:
        transaction = self._open.get(transaction_id)
        if transaction is None or transaction.is_ended:
            return _missing(transaction_id)
        ticket = run_ticket(
            self._held.view,
            transaction.run,
            statements,
            deadline_s,
        )
        refused = await transaction.grant.resume(ticket)
        if refused is None and self._held.is_closed:
            return refuse(
                RefusalReason.TRANSACTION_ABORTED,
                problem='the group has a newer term.',
            )
        return refused

    def _completed(
        self,
        transaction_id: str,
        results: tuple[StatementResult, ...],
    ) -> Completed:
        return Completed(
            results=results,
            token=None,
            member=self._held.view.primary,
            transaction_id=transaction_id,
        )


def _missing(transaction_id: str) -> Refused:
    return refuse(
        RefusalReason.NO_TRANSACTION,
        transaction_id=transaction_id,
    )
