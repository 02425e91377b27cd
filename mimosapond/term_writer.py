"""Runs one-request writes, each at most once."""

from typing import Final, TypeAlias, final

from mimosapond.errors import refuse, unknown
from mimosapond.held_term import HeldTerm
from mimosapond.landed import Landed
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
from mimosapond.term_ticket import run_ticket
from mimosapond.unknown import Unknown

DUPLICATE: Final = 'unique_violation'
# A transaction that ran before can fail now for another reason than its id.
_MAY_HAVE_RUN: Final = frozenset((DUPLICATE, 'sql_error'))
_Attempt: TypeAlias = Landed | Refused | Unknown


@final
class TermWriter:
    """Writes of one held term.

    The id is inserted together with the first statements, to save a round
    trip while the slot is held. A uniqueness violation is therefore followed
    by a look at the id: without a row, it was the caller's own.
    """

    def __init__(self, held: HeldTerm, access: LedgerAccess) -> None:
        """Write at the term of ``held``."""
        self._held = held
        self._access = access

    async def write(self, run: PeerRun, deadline_s: float) -> Outcome:
        """Run the statements once and acknowledge them when certain."""
        request = run.request
        grant = await self._held.slots.acquire(
            run_ticket(
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
        if not isinstance(attempt, Landed):
            return attempt
        self._held.sessions.note(request.session_id, attempt.position)
        return await self._held.conclude(
            request.request_id,
            attempt,
            request.required_durability,
            deadline_s,
        )

    def refuse_id(self, request_id: str) -> Refused | None:
        """Refuse ids whose record may be gone, or kept too short."""
        parsed = RequestId.parse(request_id)
        now_ms = self._held.parts.clock.unix_ms()
        problem = ''
        if parsed is None:
            problem = 'is malformed.'
        elif parsed.is_expired(now_ms):
            problem = 'is older than the retention period.'
        elif parsed.is_ahead(now_ms):
            problem = 'is too far in the future.'
        if not problem:
            return None
        return refuse(RefusalReason.REQUEST_EXPIRED, problem=problem)

    async def failed(
        self,
        connection: TargetConnection,
        failure: TargetRejected | TargetSilent,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        """Decide after a failed call before or at which nothing committed."""
        refused = self._access.after_failure(connection, failure)
        if not isinstance(failure, TargetRejected):
            return refused
        if failure.reason not in _MAY_HAVE_RUN:
            return refused
        stored = await self._access.stored(
            connection,
            request.request_id,
            deadline_s,
        )
        return refused if stored is None else stored

    async def commit_failed(
        self,
        connection: TargetConnection,
        failure: TargetRejected | TargetSilent,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        """Decide after a commit that was not answered by success."""
        if isinstance(failure, TargetSilent) and failure.sent:
            connection.close()
            return unknown(request.request_id, failure.problem)
        return await self.failed(connection, failure, request, deadline_s)

    async def _attempt(
        self,
        connection: TargetConnection,
        request: StatementRequest,
        deadline_s: float,
    ) -> _Attempt:
        refused = self.refuse_id(request.request_id)
        if self._held.is_closed:
            # Work that waited in the queue while the primary was changed.
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
            return await self.failed(connection, answer, request, deadline_s)
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
            self._held.round.note(answer.standing)
            row = LedgerRow(RowState.COMPLETED, results)
            return Landed(answer.standing.position, row)
        return await self.commit_failed(
            connection,
            answer,
            request,
            deadline_s,
        )
