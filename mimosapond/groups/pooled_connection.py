"""A connection of a pool, with the state that the member keeps for it."""

from collections.abc import Awaitable
from typing import final

import attrs

from mimosapond.groups.member_answer import MemberAnswer
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberConnection
from mimosapond.statements.statement import Shape


@final
@attrs.define(eq=False)
class PooledConnection:
    """A connection, with its session values and prepared statements.

    Parameters
    ----------
    session_values
        Session values that the member holds for this connection.
    prepared_names
        Names of the statements that are prepared on this connection.
    idle_since_s
        Time of its last return to the pool.
    """

    link: MemberConnection
    load: MemberLoad
    session_values: dict[str, str] = attrs.field(factory=dict)
    prepared_names: dict[Shape, str] = attrs.field(factory=dict)
    idle_since_s: float = 0

    async def ask(
        self, call: Awaitable[MemberAnswer], *, is_write: bool = False
    ) -> MemberAnswer:
        """Await a request and record its answer in the member's load."""
        request = self.load.start(is_write=is_write)
        try:
            answer = await call
        finally:
            self.load.finish(request)
        self.load.record(request, answer)
        return answer
