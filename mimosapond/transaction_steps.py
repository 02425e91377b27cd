"""Begin and commit of an interactive transaction, with its id in the ledger."""

from typing import TypeAlias, final

from mimosapond.held_term import HeldTerm
from mimosapond.landed import Landed
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

CommitAttempt: TypeAlias = Landed | Refused | Unknown


@final
class TransactionSteps:
    """What is sent to the member at both ends of a transaction."""

    def __init__(
        self, held: HeldTerm, access: LedgerAccess, writer: TermWriter
    ) -> None:
        """Take the held term and what records ids."""
        self._held = held
        self._access = access
        self._writer = writer

    async def begin(
        self,
        grant: HeldSlot,
        run: PeerRun,
        deadline_s: float,
    ) -> CommitAttempt | tuple[StatementResult, ...]:
        """Open a transaction at the member; an id that has run has landed."""
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
            return await self._writer.failed(
                connection,
                answer,
                request,
                deadline_s,
            )
        row = self._access.ledger.row(answer.results[0])
        if row is None:
            return answer.results[1:]
        connection.close()
        return Landed(answer.standing.position, row, is_replayed=True)

    async def commit(
        self,
        transaction: OpenTransaction,
        deadline_s: float,
    ) -> CommitAttempt:
        """Commit with the id in the same transaction."""
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
            return Landed(answer.standing.position, row)
        return await self._writer.commit_failed(
            transaction.connection,
            answer,
            request,
            deadline_s,
        )

    async def conclude(
        self,
        run: PeerRun,
        landed: Landed,
        deadline_s: float,
    ) -> Outcome:
        """Return the outcome of a commit once it is as durable as asked."""
        request = run.request
        self._held.sessions.note(request.session_id, landed.position)
        return await self._held.conclude(
            request.request_id,
            landed,
            request.required_durability,
            deadline_s,
        )
