"""Interactive transactions of one held term.

The request id is looked up at the begin and inserted with the commit. A row
that is inserted at the begin would stay locked while the caller is idle.
"""

import contextlib
import secrets
from collections.abc import AsyncIterator, Sequence
from typing import Final, final

from mimosapond.committed_row import CommittedRow
from mimosapond.completed import Completed
from mimosapond.errors import refuse
from mimosapond.held_term import HeldTerm
from mimosapond.ledger_access import LedgerAccess
from mimosapond.open_transaction import OpenTransaction
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from mimosapond.target_results import TargetAnswered
from mimosapond.term_ticket import request_ticket
from mimosapond.term_writer import TermWriter
from mimosapond.transaction_steps import TransactionSteps
from mimosapond.unknown import Unknown

# Idle time after which a transaction is aborted. An entry host that died never
# ends its transactions, and each would occupy one of the member's few
# connections forever.
IDLE_LIMIT_S: Final = 30
# Idle limit until the entry host is known to have received the answer to the
# begin. The answer may be lost with a connection or an entry host. No caller
# knows the transaction then, and other writes would wait for its locks until
# the idle limit: proof runs saw a group without writes for 31 s.
UNCONFIRMED_LIMIT_S: Final = 1
_ID_BYTES: Final = 12


@final
class InteractiveTransactions:
    """Runs the interactive transactions of one held term."""

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
        """Number of transactions that have not ended."""
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
            request_ticket(
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
            case CommittedRow():
                transaction.end(is_clean=True)
                return await self._steps.acknowledge(run, begun, deadline_s)
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
            refused = self._access.refuse_after_failure(
                transaction.connection,
                answer,
            )
            transaction.end(is_clean=True)
            return refused

    async def commit(self, transaction_id: str, deadline_s: float) -> Outcome:
        """Commit, and record the request id in the same transaction."""
        transaction = self._open.get(transaction_id)
        if transaction is None:
            return _missing(transaction_id)
        async with self._use(transaction_id, transaction):
            refused = await self._resume(transaction_id, (), deadline_s)
            if refused is not None:
                return refused
            attempt = await self._steps.commit(transaction, deadline_s)
            transaction.end(is_clean=True)
        if not isinstance(attempt, CommittedRow):
            return attempt
        return await self._steps.acknowledge(
            transaction.run, attempt, deadline_s
        )

    async def rollback(
        self,
        transaction_id: str,
        deadline_s: float,
    ) -> Outcome:
        """Roll back.

        If the target does not answer, the connection is closed, which makes
        the target roll back.
        """
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
        """Record that the entry host knows the transaction's id."""
        transaction = self._open.get(transaction_id)
        if transaction is not None:
            transaction.is_confirmed = True

    def abort_idle(self) -> None:
        """Abort transactions that exceed their idle limit."""
        now_s = self._held.parts.clock.monotonic_s()
        for transaction_id, transaction in tuple(self._open.items()):
            limit_s = UNCONFIRMED_LIMIT_S
            if transaction.is_confirmed:
                limit_s = IDLE_LIMIT_S
            if now_s - transaction.last_used_s > limit_s:
                self._abort(transaction_id, transaction)

    def close(self) -> None:
        """Abort all transactions; a call in flight ends its own."""
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
        # The begin may have waited a long time for a lock.
        transaction.last_used_s = self._held.parts.clock.monotonic_s()
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
        transaction.last_used_s = self._held.parts.clock.monotonic_s()
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
        ticket = request_ticket(
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
