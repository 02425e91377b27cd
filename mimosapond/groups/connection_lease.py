"""Exclusive use of a pooled connection by one borrower."""

from collections.abc import Awaitable, Callable
from typing import TypeVar, final

from mimosapond.groups.member_answer import MemberAnswer
from mimosapond.groups.member_port import MemberConnection
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.statements.statement import Shape

_Answer = TypeVar('_Answer')


@final
class LeaseEndedError(Exception):
    """A released lease was used, which is a fault of the program."""


@final
class ConnectionLease:
    """Lets one borrower use a connection until the lease is released.

    The member sends answers in the order of the requests and without ids. A
    request that is sent after the release would give the next borrower an
    answer that is not its own, so every use after the release raises
    ``LeaseEndedError``.

    Parameters
    ----------
    return_to_pool
        Called once with the connection when the lease is released.
    """

    def __init__(
        self,
        connection: PooledConnection,
        return_to_pool: Callable[[PooledConnection], None],
    ) -> None:
        """Start a lease of ``connection``."""
        self._connection: PooledConnection | None = connection
        self._return_to_pool = return_to_pool

    @property
    def link(self) -> MemberConnection:
        """The connection to the member."""
        return self._require_connection().link

    @property
    def workspace(self) -> str:
        """Workspace that the connection was opened for; empty without one."""
        return self._require_connection().workspace

    def leads_to_known_process(self) -> bool:
        """Return whether the connection leads to the registered process."""
        return self._require_connection().leads_to_known_process()

    @property
    def session_values(self) -> dict[str, str]:
        """Session values that the member holds for the connection."""
        return self._require_connection().session_values

    @property
    def prepared_names(self) -> dict[Shape, str]:
        """Names of the statements that are prepared on the connection."""
        return self._require_connection().prepared_names

    async def ask(
        self, call: Awaitable[MemberAnswer], *, is_write: bool = False
    ) -> MemberAnswer:
        """Await a request and record its answer in the member's load."""
        return await self._require_connection().ask(call, is_write=is_write)

    async def observe(self, call: Awaitable[_Answer]) -> _Answer:
        """Await a request that does not count as load of the member."""
        return await self._require_connection().observe(call)

    def release(self) -> None:
        """Return the connection to the pool; a second call does nothing."""
        if self._connection is not None:
            connection = self._connection
            self._connection = None
            self._return_to_pool(connection)

    def _require_connection(self) -> PooledConnection:
        if self._connection is None:
            raise LeaseEndedError
        return self._connection
