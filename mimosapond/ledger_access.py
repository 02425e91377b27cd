"""Calls on the request ledger that writes, commits and settling share."""

import asyncio
from typing import final

from mimosapond.committed_row import CommittedRow
from mimosapond.errors import unknown
from mimosapond.held_term import HeldTerm
from mimosapond.refused import Refused
from mimosapond.request_ledger import RequestLedger
from mimosapond.standing import Standing
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetResult,
    TargetSilent,
)
from mimosapond.unknown import Unknown


@final
class LedgerAccess:
    """Reads and creates the request ledger at one held term."""

    def __init__(self, held: HeldTerm) -> None:
        """Start with a table that may not exist yet."""
        self._held = held
        self._is_created = False
        self._lock = asyncio.Lock()
        self.ledger = RequestLedger(held.parts.clock)

    async def ensure_table(
        self,
        connection: TargetConnection,
        deadline_s: float,
    ) -> Refused | None:
        """Create the ledger table unless this term has already done so."""
        async with self._lock:
            if self._is_created:
                return None
            refused = await self._create(connection, deadline_s)
            self._is_created = refused is None
            return refused

    async def read_row(
        self,
        connection: TargetConnection,
        request_id: str,
        deadline_s: float,
    ) -> CommittedRow | Unknown | None:
        """Read the row of ``request_id`` after its insert was rejected.

        Returns
        -------
        CommittedRow, Unknown or None
            None when the ledger has no row for the id. Unknown when the
            ledger could not be read at the held term.
        """
        answer = await connection.read(
            (self.ledger.select(request_id),),
            self._held.parts.remaining_s(deadline_s),
        )
        if not isinstance(answer, TargetAnswered):
            connection.close()
            return unknown(request_id, 'its record could not be read.')
        self._held.confirmer.note(answer.standing)
        if not self._is_current(answer.standing):
            return unknown(request_id, 'its record is of another term.')
        row = self.ledger.row(answer.results[0])
        if row is None:
            return None
        return CommittedRow(answer.standing.position, row, is_replayed=True)

    def refuse_after_failure(
        self,
        connection: TargetConnection,
        failure: TargetRejected | TargetSilent,
    ) -> Refused:
        """Return the refusal for a failed call that cannot have committed.

        If the target did not answer, the connection is closed, which makes the
        target roll back.
        """
        if isinstance(failure, TargetRejected):
            return self._held.refuse_rejected(failure)
        connection.close()
        return self._held.refuse_no_primary(failure.problem)

    async def _create(
        self,
        connection: TargetConnection,
        deadline_s: float,
    ) -> Refused | None:
        parts = self._held.parts
        result: TargetResult = await connection.begin(
            self._held.view.term,
            (self.ledger.create_table(),),
            parts.remaining_s(deadline_s),
        )
        if isinstance(result, TargetAnswered):
            result = await connection.commit(
                (),
                parts.remaining_s(deadline_s),
            )
        if isinstance(result, TargetAnswered):
            return None
        return self.refuse_after_failure(connection, result)

    def _is_current(self, standing: Standing) -> bool:
        return standing.is_primary and standing.term == self._held.view.term
