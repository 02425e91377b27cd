"""A connection of the baseline policy, given to one request."""

from collections.abc import Callable
from typing import final

from mimosapond.connection_pool import ConnectionPool
from mimosapond.refused import Refused
from mimosapond.target_connection import TargetConnection
from mimosapond.work_ticket import WorkTicket


@final
class DirectGrant:
    """Holds one connection until its release; there are no slots to park."""

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
        """Return the connection; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._pool.give_back(self.connection, reusable=reusable)
        self._on_release()

    def park(self) -> bool:
        """Keep the connection; tell whether the grant is still held."""
        return not self._is_released

    async def resume(self, _ticket: WorkTicket) -> Refused | None:
        """Go on at once, since the connection was kept."""
        refusal: Refused | None = None
        return refusal
