"""A connection of a pool, with the state that the member keeps for it."""

from collections.abc import Awaitable
from typing import final

import attrs
from loguru import logger

from mimosapond.groups.member_answer import MemberAnswer
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberConnection
from mimosapond.statements.reply import SessionState
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
        Time of its last return to the pool by a borrower of its workspace.
    opened_s
        Time at which it was opened.
    preceding_contact_s
        Time of the last answer of the member before it was opened.
    workspace
        Workspace that it was opened for, whose statements alone it may carry;
        empty without one.
    """

    link: MemberConnection
    load: MemberLoad
    session_values: dict[str, str] = attrs.field(factory=dict)
    prepared_names: dict[Shape, str] = attrs.field(factory=dict)
    idle_since_s: float = 0
    opened_s: float = 0
    preceding_contact_s: float = 0
    workspace: str = ''

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

    def record_loss(self) -> None:
        """Record that it ended, at some time after its last use."""
        self.load.identity.record_loss(max(self.opened_s, self.idle_since_s))

    def record_doubt(self) -> None:
        """Record that it may be the first one to another process."""
        self.load.identity.record_loss(self.preceding_contact_s)

    def leads_to_known_process(self) -> bool:
        """Return whether the registered process gave the last answer."""
        return self.load.identity.is_certain(self.opened_s)

    def has_unfinished_work(self) -> bool:
        """Return whether it is open but not idle, and log it if so."""
        link = self.link
        if not link.is_open or link.state is SessionState.idle:
            return False
        state = '' if link.state is None else link.state.value
        logger.bind(connection=link.name, state=state).warning(
            'connection_unsettled'
        )
        return True
