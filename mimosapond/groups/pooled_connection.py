"""A connection of a pool, with what the member keeps for it."""

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
    """A connection and the session values and names defined on it.

    Parameters
    ----------
    session_values
        Session values that the member holds for this connection.
    prepared_names
        Names under which statements are prepared on it.
    idle_since_s
        When it was last given back.
    """

    link: MemberConnection
    load: MemberLoad
    session_values: dict[str, str] = attrs.field(factory=dict)
    prepared_names: dict[Shape, str] = attrs.field(factory=dict)
    idle_since_s: float = 0

    async def ask(
        self, call: Awaitable[MemberAnswer], *, is_write: bool = False
    ) -> MemberAnswer:
        """Make a request and record how the member answered."""
        request = self.load.start(is_write=is_write)
        try:
            answer = await call
        finally:
            self.load.finish(request)
        self.load.record(request, answer)
        return answer
