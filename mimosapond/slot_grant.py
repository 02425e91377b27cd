"""A slot and a connection of one member, granted to one request."""

from typing import final

from mimosapond.connection_pool import ConnectionPool
from mimosapond.errors import refuse
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.slot_allocator import SlotAllocator
from mimosapond.target_connection import TargetConnection
from mimosapond.work_claim import WorkClaim
from mimosapond.work_ticket import WorkTicket


@final
class SlotGrant:
    """Slot and connection of one request or interactive transaction.

    Its user must call ``release`` in a ``finally`` clause. A transaction can
    park the grant between two statements: parking frees the slot and keeps the
    connection, and ``resume`` waits for a slot again.

    Attributes
    ----------
    connection
        Connection for exclusive use until the release.
    """

    def __init__(
        self,
        connection: TargetConnection,
        work: ScheduledWork,
        allocator: SlotAllocator,
        pool: ConnectionPool,
    ) -> None:
        """Create a grant of the slot of ``work`` and of ``connection``."""
        self.connection = connection
        self._work = work
        self._allocator = allocator
        self._pool = pool
        self._slot_work: ScheduledWork | None = work
        self._resuming_work: ScheduledWork | None = None
        self._is_released = False

    def release(self, *, reusable: bool) -> None:
        """Free the slot and the connection; a second call has no effect.

        Parameters
        ----------
        reusable
            Whether the connection is in a known clean state, which means that
            the last call was answered and no transaction is open.
        """
        if self._is_released:
            return
        self._is_released = True
        if self._resuming_work is not None:
            self._allocator.refuse(self._resuming_work, self._refuse_ended())
        self._observe_duration(is_complete=reusable)
        self._pool.give_back(self.connection, reusable=reusable)
        self._allocator.finish(self._slot_work, self._work)
        self._slot_work = None

    def park(self) -> bool:
        """Free the slot and keep the connection.

        Returns
        -------
        bool
            False after the release, or if the limit of parked connections is
            reached. The grant then keeps its slot and should be released. Work
            whose ticket sets ``keeps_connection`` can always be parked.
        """
        if self._is_released or not self._allocator.keep(self._work):
            return False
        self._observe_duration(is_complete=True)
        self._allocator.finish(self._slot_work, None)
        self._slot_work = None
        return True

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Wait for a slot again.

        The grant keeps its connection. It stays parked if the call is cancelled
        or refused.

        Returns
        -------
        Refused or None
            None once the grant has a slot; otherwise the refusal.
        """
        if self._is_released:
            return self._refuse_ended()
        if self._slot_work is not None:
            return None
        if self._resuming_work is not None:
            return refuse(
                RefusalReason.REQUEST_PENDING,
                request_id=self._resuming_work.ticket.request_id,
            )
        return await self._take_slot(ticket)

    async def _take_slot(self, ticket: WorkTicket) -> Refused | None:
        work = self._allocator.offer(ticket, WorkClaim.RESUMED)
        self._resuming_work = work
        try:
            await self._allocator.wait_scheduled(work)
        finally:
            self._resuming_work = None
        if self._is_released:
            # The release has refused the work or freed its slot.
            return self._refuse_ended()
        if work.refusal is None:
            self._slot_work = work
        return work.refusal

    def _observe_duration(self, *, is_complete: bool) -> None:
        if self._slot_work is not None:
            self._allocator.observe_duration(
                self._slot_work, is_complete=is_complete
            )

    def _refuse_ended(self) -> Refused:
        return refuse(
            RefusalReason.NO_TRANSACTION,
            transaction_id=self._work.ticket.request_id,
        )
