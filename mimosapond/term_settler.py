"""Determines the outcome of an earlier request by its id.

A ``cancelled`` row is inserted for the id at the current term. If the insert
succeeds, the request has not run and never will. If it fails, the request's
own row exists.
"""

from typing import final

from mimosapond.committed_row import CommittedRow
from mimosapond.durability import Durability
from mimosapond.errors import unknown
from mimosapond.held_term import HeldTerm
from mimosapond.ledger_access import LedgerAccess
from mimosapond.ledger_row import LedgerRow, RowState
from mimosapond.outcome import Outcome
from mimosapond.refused import Refused
from mimosapond.slot_use import using_slot
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetSilent,
)
from mimosapond.term_ticket import internal_ticket
from mimosapond.term_writer import DUPLICATE_KEY, TermWriter
from mimosapond.unknown import Unknown
from mimosapond.work_class import WorkClass


@final
class TermSettler:
    """Settles request ids at one held term."""

    def __init__(
        self,
        held: HeldTerm,
        access: LedgerAccess,
        writer: TermWriter,
    ) -> None:
        """Settle requests at the term of ``held``."""
        self._held = held
        self._access = access
        self._writer = writer

    async def settle(self, request_id: str, deadline_s: float) -> Outcome:
        """Return the final outcome of ``request_id``, or unknown.

        An id that is older than the retention period cannot be settled,
        because its ledger row may have been deleted.
        """
        expired = self._writer.refuse_id(request_id)
        if expired is not None:
            return unknown(request_id, expired.message)
        grant = await self._held.slots.acquire(
            internal_ticket(
                self._held.view,
                request_id,
                WorkClass.URGENT,
                deadline_s,
            ),
        )
        if isinstance(grant, Refused):
            return unknown(request_id, grant.message)
        with using_slot(grant) as connection:
            attempt = await self._cancel(connection, request_id, deadline_s)
        if not isinstance(attempt, CommittedRow):
            return attempt
        return await self._held.acknowledge(
            request_id,
            attempt,
            Durability.REPLICATED,
            deadline_s,
        )

    async def _cancel(
        self,
        connection: TargetConnection,
        request_id: str,
        deadline_s: float,
    ) -> CommittedRow | Unknown:
        refused = await self._access.ensure_table(connection, deadline_s)
        if refused is not None:
            return unknown(request_id, refused.message)
        remaining_s = self._held.parts.remaining_s
        answer = await connection.begin(
            self._held.view.term,
            (self._access.ledger.insert(request_id, RowState.CANCELLED),),
            remaining_s(deadline_s),
        )
        if isinstance(answer, TargetAnswered):
            answer = await connection.commit((), remaining_s(deadline_s))
        if isinstance(answer, TargetAnswered):
            cancelled = LedgerRow(RowState.CANCELLED)
            return CommittedRow(answer.standing.position, cancelled)
        failure = self._access.refuse_after_failure(connection, answer)
        if _is_duplicate(answer):
            stored = await self._access.read_row(
                connection,
                request_id,
                deadline_s,
            )
            if stored is not None:
                return stored
        return unknown(request_id, failure.message)


def _is_duplicate(failure: TargetRejected | TargetSilent) -> bool:
    return (
        isinstance(failure, TargetRejected) and failure.reason == DUPLICATE_KEY
    )
