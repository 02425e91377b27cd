"""A slot and a connection of one member, given to one request."""

from typing import final

from mimosapond.connection_pool import ConnectionPool
from mimosapond.errors import refuse
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.slot_allocator import SlotAllocator
from mimosapond.target_connection import TargetConnection
from mimosapond.waiting_work import WaitingWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_ticket import WorkTicket


@final
class SlotGrant:
    """Must be released exactly when its holder is done, in a ``finally``.

    Attributes
    ----------
    connection
        For the holder alone until the release.
    """

    def __init__(
        self,
        connection: TargetConnection,
        work: WaitingWork,
        allocator: SlotAllocator,
        pool: ConnectionPool,
    ) -> None:
        """Hold the slot and the connection of ``work``."""
        self.connection = connection
        self._work = work
        self._allocator = allocator
        self._pool = pool
        self._slot_work: WaitingWork | None = work
        self._resuming: WaitingWork | None = None
        self._is_released = False

    def release(self, *, reusable: bool) -> None:
        """Free the slot and the connection; a second call does nothing.

        Parameters
        ----------
        reusable
            Whether the connection is in a known clean state: the last call
            was answered and no transaction is open.
        """
        if self._is_released:
            return
        self._is_released = True
        if self._resuming is not None:
            self._allocator.refuse(self._resuming, self._refuse_ended())
        self._note_duration(is_complete=reusable)
        self._pool.give_back(self.connection, reusable=reusable)
        self._allocator.finish(self._slot_work, self._work)
        self._slot_work = None

    def park(self) -> bool:
        """Free the slot and keep the connection.

        Returns
        -------
        bool
            False when as many connections are parked as may be, or after the
            release. The slot is then kept, and the holder should release.
            Work with ``keeps_connection`` can always be parked.
        """
        if self._is_released or not self._allocator.keep(self._work):
            return False
        self._note_duration(is_complete=True)
        self._allocator.finish(self._slot_work, None)
        self._slot_work = None
        return True

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Queue for a slot again; the connection stays with the grant.

        A cancelled or refused call leaves the grant parked.
        """
        if self._is_released:
            return self._refuse_ended()
        if self._slot_work is not None:
            return None
        if self._resuming is not None:
            return refuse(
                RefusalReason.REQUEST_PENDING,
                request_id=self._resuming.ticket.request_id,
            )
        return await self._take_slot(ticket)

    async def _take_slot(self, ticket: WorkTicket) -> Refused | None:
        work = self._allocator.offer(ticket, WorkClaim.RESUMED)
        self._resuming = work
        try:
            await self._allocator.settle(work)
        finally:
            self._resuming = None
        if self._is_released:
            # The release ended the work and took back what it had.
            return self._refuse_ended()
        if work.refusal is None:
            self._slot_work = work
        return work.refusal

    def _note_duration(self, *, is_complete: bool) -> None:
        if self._slot_work is not None:
            self._allocator.note_duration(
                self._slot_work, is_complete=is_complete
            )

    def _refuse_ended(self) -> Refused:
        return refuse(
            RefusalReason.NO_TRANSACTION,
            transaction_id=self._work.ticket.request_id,
        )
