"""Deletes expired rows of the request ledger in small batches."""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.held_term import HeldTerm
from mimosapond.ledger_access import LedgerAccess
from mimosapond.refused import Refused
from mimosapond.request_id import RequestId
from mimosapond.slot_use import using_slot
from mimosapond.target_connection import TargetConnection
from mimosapond.target_results import TargetAnswered
from mimosapond.term_ticket import internal_ticket
from mimosapond.work_class import WorkClass

_INTERVAL_S: Final = 60
# Pause between full batches, which keeps deletions from filling the queue.
_BATCH_PAUSE_S: Final = 1
_DEADLINE_MS: Final = 10 * MS_PER_S


@final
class LedgerSweeper:
    """Deletes expired rows as batch work at one held term."""

    def __init__(self, held: HeldTerm, access: LedgerAccess) -> None:
        """Delete rows at the term of ``held``."""
        self._held = held
        self._access = access

    async def run(self) -> None:
        """Delete expired rows until the term is closed."""
        while not self._held.is_closed:
            has_more = await self.sweep()
            pause_s = _BATCH_PAUSE_S if has_more else _INTERVAL_S
            await self._held.parts.clock.sleep(pause_s)

    async def sweep(self) -> bool:
        """Delete one batch of expired rows.

        Returns
        -------
        bool
            Whether more rows may be expired. False on failure.
        """
        parts = self._held.parts
        deadline_s = parts.deadline_after(_DEADLINE_MS)
        request_id = str(RequestId.create(parts.clock.unix_ms()))
        grant = await self._held.slots.acquire(
            internal_ticket(
                self._held.view,
                request_id,
                WorkClass.BATCH,
                deadline_s,
            ),
        )
        if isinstance(grant, Refused):
            return False
        with using_slot(grant) as connection:
            return await self._delete(connection, deadline_s)

    async def _delete(
        self,
        connection: TargetConnection,
        deadline_s: float,
    ) -> bool:
        refused = await self._access.ensure_table(connection, deadline_s)
        if refused is not None:
            return False
        remaining_s = self._held.parts.remaining_s
        begun = await connection.begin(
            self._held.view.term,
            (self._access.ledger.delete_expired(),),
            remaining_s(deadline_s),
        )
        if not isinstance(begun, TargetAnswered):
            self._access.refuse_after_failure(connection, begun)
            return False
        committed = await connection.commit((), remaining_s(deadline_s))
        if not isinstance(committed, TargetAnswered):
            self._access.refuse_after_failure(connection, committed)
            return False
        return self._access.ledger.is_full_batch(begun.results[0])
