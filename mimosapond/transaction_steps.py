"""Begins and commits interactive transactions with their ledger rows."""

from typing import TypeAlias, final

from mimosapond.committed_row import CommittedRow
from mimosapond.held_term import HeldTerm
from mimosapond.ledger_access import LedgerAccess
from mimosapond.ledger_row import LedgerRow, RowState
from mimosapond.open_transaction import OpenTransaction
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refused import Refused
from mimosapond.slot_source import HeldSlot
from mimosapond.statement_result import StatementResult
from mimosapond.target_results import TargetAnswered
from mimosapond.term_writer import TermWriter
from mimosapond.unknown import Unknown

CommitAttempt: TypeAlias = CommittedRow | Refused | Unknown


@final
class TransactionSteps:
    """Calls at the target that begin and end a transaction."""

    def __init__(
        self, held: HeldTerm, access: LedgerAccess, writer: TermWriter
    ) -> None:
        """Run transactions at the term of ``held``."""
        self._held = held
        self._access = access
        self._writer = writer

    async def begin(
        self,
        grant: HeldSlot,
        run: PeerRun,
        deadline_s: float,
    ) -> CommitAttempt | tuple[StatementResult, ...]:
        """Open a transaction at the target and run its first statements.

        Returns
        -------
        CommittedRow, Refused, Unknown or tuple of StatementResult
            The results of the statements, or the row of an earlier attempt if
            the request has already run.
        """
        request = run.request
        connection = grant.connection
        refused = self._writer.refuse_id(request.request_id)
        if refused is None:
            refused = await self._access.ensure_table(connection, deadline_s)
        if refused is not None:
            return refused
        answer = await connection.begin(
            self._held.view.term,
            (
                self._access.ledger.select(request.request_id),
                *request.statements,
            ),
            self._held.parts.remaining_s(deadline_s),
        )
        if not isinstance(answer, TargetAnswered):
            return await self._writer.resolve_failure(
                connection,
                answer,
                request,
                deadline_s,
            )
        row = self._access.ledger.row(answer.results[0])
        if row is None:
            return answer.results[1:]
        connection.close()
        return CommittedRow(answer.standing.position, row, is_replayed=True)

    async def commit(
        self,
        transaction: OpenTransaction,
        deadline_s: float,
    ) -> CommitAttempt:
        """Insert the request id into the ledger and commit."""
        request = transaction.run.request
        statement = self._access.ledger.insert(
            request.request_id,
            RowState.COMPLETED,
        )
        answer = await transaction.connection.commit(
            (statement,),
            self._held.parts.remaining_s(deadline_s),
        )
        if isinstance(answer, TargetAnswered):
            row = LedgerRow(RowState.COMPLETED)
            return CommittedRow(answer.standing.position, row)
        return await self._writer.resolve_commit_failure(
            transaction.connection,
            answer,
            request,
            deadline_s,
        )

    async def acknowledge(
        self,
        run: PeerRun,
        committed: CommittedRow,
        deadline_s: float,
    ) -> Outcome:
        """Return the outcome of a commit once it is durable."""
        request = run.request
        self._held.sessions.raise_floor(request.session_id, committed.position)
        return await self._held.acknowledge(
            request.request_id,
            committed,
            request.required_durability,
            deadline_s,
        )
