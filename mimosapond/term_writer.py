"""Runs writes that consist of one request, each at most once."""

from typing import Final, TypeAlias, final

from mimosapond.committed_row import CommittedRow
from mimosapond.errors import refuse, unknown
from mimosapond.held_term import HeldTerm
from mimosapond.ledger_access import LedgerAccess
from mimosapond.ledger_row import LedgerRow, RowState
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_id import RequestId
from mimosapond.slot_use import using_slot
from mimosapond.statement_request import StatementRequest
from mimosapond.statement_result import StatementResult
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetSilent,
)
from mimosapond.term_ticket import request_ticket
from mimosapond.unknown import Unknown

DUPLICATE_KEY: Final = 'unique_violation'
# Reasons of failure after which the request may have run before: its repeated
# statements can fail for another reason than the duplicate request id.
_POSSIBLY_RUN_REASONS: Final = frozenset((DUPLICATE_KEY, 'sql_error'))
_Attempt: TypeAlias = CommittedRow | Refused | Unknown


@final
class TermWriter:
    """Runs the writes of one held term.

    The request id is inserted together with the first statements, which saves
    a round trip while the slot is occupied. After a uniqueness violation, the
    ledger is therefore read for the id: if it has no row, the violation came
    from the caller's own statements.
    """

    def __init__(self, held: HeldTerm, access: LedgerAccess) -> None:
        """Run writes at the term of ``held``."""
        self._held = held
        self._access = access

    async def write(self, run: PeerRun, deadline_s: float) -> Outcome:
        """Run the statements once and acknowledge them when durable."""
        request = run.request
        grant = await self._held.slots.acquire(
            request_ticket(
                self._held.view,
                run,
                request.statements,
                deadline_s,
            ),
        )
        if isinstance(grant, Refused):
            return grant
        with using_slot(grant) as connection:
            attempt = await self._attempt(connection, request, deadline_s)
        if not isinstance(attempt, CommittedRow):
            return attempt
        self._held.sessions.raise_floor(request.session_id, attempt.position)
        return await self._held.acknowledge(
            request.request_id,
            attempt,
            request.required_durability,
            deadline_s,
        )

    def refuse_id(self, request_id: str) -> Refused | None:
        """Refuse a request id that the ledger cannot deduplicate.

        The row of an expired id may have been deleted, and the row of an id
        that is dated in the future would be deleted too early.
        """
        parsed = RequestId.parse(request_id)
        now_ms = self._held.parts.clock.unix_ms()
        problem = ''
        if parsed is None:
            problem = 'is malformed.'
        elif parsed.is_expired(now_ms):
            problem = 'is older than the retention period.'
        elif parsed.is_in_future(now_ms):
            problem = 'is too far in the future.'
        if not problem:
            return None
        return refuse(RefusalReason.REQUEST_EXPIRED, problem=problem)

    async def resolve_failure(
        self,
        connection: TargetConnection,
        failure: TargetRejected | TargetSilent,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        """Return the outcome after a call that failed without a commit.

        Returns
        -------
        CommittedRow, Refused or Unknown
            The row of an earlier attempt if the request has already run.
        """
        refused = self._access.refuse_after_failure(connection, failure)
        if not isinstance(failure, TargetRejected):
            return refused
        if failure.reason not in _POSSIBLY_RUN_REASONS:
            return refused
        stored = await self._access.read_row(
            connection,
            request.request_id,
            deadline_s,
        )
        return refused if stored is None else stored

    async def resolve_commit_failure(
        self,
        connection: TargetConnection,
        failure: TargetRejected | TargetSilent,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        """Return the outcome after a commit that was not confirmed.

        It is unknown when the commit was sent and no answer arrived.
        """
        if isinstance(failure, TargetSilent) and failure.sent:
            connection.close()
            return unknown(request.request_id, failure.problem)
        return await self.resolve_failure(
            connection, failure, request, deadline_s
        )

    async def _attempt(
        self,
        connection: TargetConnection,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        refused = self.refuse_id(request.request_id)
        if self._held.is_closed:
            # The request waited in the queue while the primary changed.
            refused = self._held.refuse_not_owner()
        if refused is None:
            refused = await self._access.ensure_table(connection, deadline_s)
        if refused is not None:
            return refused
        ledger = self._access.ledger
        answer = await connection.begin(
            self._held.view.term,
            (
                ledger.insert(request.request_id, RowState.RUNNING),
                *request.statements,
            ),
            self._held.parts.remaining_s(deadline_s),
        )
        if not isinstance(answer, TargetAnswered):
            return await self.resolve_failure(
                connection, answer, request, deadline_s
            )
        refused = self._refuse_commit(connection, deadline_s)
        if refused is not None:
            return refused
        results = answer.results[1:]
        return await self._commit(connection, request, results, deadline_s)

    def _refuse_commit(
        self,
        connection: TargetConnection,
        deadline_s: float,
    ) -> Refused | None:
        refused: Refused | None = None
        if self._held.is_closed:
            refused = self._held.refuse_not_owner()
        elif not self._held.parts.remaining_s(deadline_s):
            refused = refuse(RefusalReason.DEADLINE_EXCEEDED)
        if refused is not None:
            connection.close()
        return refused

    async def _commit(
        self,
        connection: TargetConnection,
        request: StatementRequest,
        results: tuple[StatementResult, ...],
        deadline_s: float,
    ) -> _Attempt:
        answer = await connection.commit(
            (self._access.ledger.complete(request.request_id, results),),
            self._held.parts.remaining_s(deadline_s),
        )
        if isinstance(answer, TargetAnswered):
            self._held.confirmer.note(answer.standing)
            row = LedgerRow(RowState.COMPLETED, results)
            return CommittedRow(answer.standing.position, row)
        return await self.resolve_commit_failure(
            connection,
            answer,
            request,
            deadline_s,
        )
