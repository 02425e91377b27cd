"""The right of one borrower to use a connection of a pool."""

from collections.abc import Awaitable, Callable
from typing import final

from mimosapond.groups.member_answer import MemberAnswer
from mimosapond.groups.member_port import MemberConnection
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.statements.statement import Shape


@final
class LeaseEndedError(Exception):
    """A fault of the program: a connection was used after its return."""


@final
class ConnectionLease:
    """Lets its holder use a connection until it is given back.

    The member matches answers to requests by their order alone, so a request
    of a former holder would shift the answers of the next one.
    """

    def __init__(
        self,
        connection: PooledConnection,
        return_to_pool: Callable[[PooledConnection], None],
    ) -> None:
        """Take the connection and what to do with it at the end."""
        self._connection: PooledConnection | None = connection
        self._return_to_pool = return_to_pool

    @property
    def link(self) -> MemberConnection:
        """The connection itself."""
        return self._require_connection().link

    @property
    def session_values(self) -> dict[str, str]:
        """Session values that the member holds for it."""
        return self._require_connection().session_values

    @property
    def prepared_names(self) -> dict[Shape, str]:
        """Names under which statements are prepared on it."""
        return self._require_connection().prepared_names

    async def ask(
        self, call: Awaitable[MemberAnswer], *, is_write: bool = False
    ) -> MemberAnswer:
        """Make a request and record how the member answered."""
        return await self._require_connection().ask(call, is_write=is_write)

    def give_back(self) -> None:
        """End the lease; a second call does nothing."""
        if self._connection is not None:
            connection = self._connection
            self._connection = None
            self._return_to_pool(connection)

    def _require_connection(self) -> PooledConnection:
        if self._connection is None:
            raise LeaseEndedError
        return self._connection
