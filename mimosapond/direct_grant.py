"""A connection that the baseline policy grants to one request."""

from collections.abc import Callable
from typing import final

from mimosapond.connection_pool import ConnectionPool
from mimosapond.refused import Refused
from mimosapond.target_connection import TargetConnection
from mimosapond.work_ticket import WorkTicket


@final
class DirectGrant:
    """Holds one connection until it is released.

    The baseline policy has no slots, so parking a grant frees nothing.
    """

    def __init__(
        self,
        connection: TargetConnection,
        pool: ConnectionPool,
        on_release: Callable[[], None],
    ) -> None:
        """Hold ``connection`` of ``pool``."""
        self.connection = connection
        self._pool = pool
        self._on_release = on_release
        self._is_released = False

    def release(self, *, reusable: bool) -> None:
        """Return the connection to its pool; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._pool.give_back(self.connection, reusable=reusable)
        self._on_release()

    def park(self) -> bool:
        """Keep the connection; return whether the grant is still held."""
        return not self._is_released

    async def resume(self, _ticket: WorkTicket) -> Refused | None:
        """Continue at once, because the connection was kept."""
        refusal: Refused | None = None
        return refusal
