"""A connection of a pool, with the state that the member keeps for it."""

from collections.abc import Awaitable
from typing import TypeVar, final

import attrs
from loguru import logger

from mimosapond.groups.member_answer import LinkLost, MemberAnswer
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberConnection
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import Shape

_Answer = TypeVar('_Answer')


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
            answer = await self.observe(call)
        finally:
            self.load.finish(request)
        self.load.record(request, answer)
        return answer

    async def observe(self, call: Awaitable[_Answer]) -> _Answer:
        """Await a request, whose answer shows that the process runs."""
        sent_s = self.load.now()
        answer = await call
        if not isinstance(answer, LinkLost):
            self.load.identity.record_answer(self.opened_s, sent_s)
        return answer

    def record_loss(self) -> None:
        """Record that it ended, at some time after its last use."""
        self.load.identity.record_loss(max(self.opened_s, self.idle_since_s))

    def record_doubt(self) -> None:
        """Record that it may be the first one to another process."""
        self.load.identity.record_loss(self.preceding_contact_s)

    def leads_to_known_process(self) -> bool:
        """Return whether it leads to the registered process."""
        return self.load.identity.is_certain(self.opened_s)

    def may_end_doubt(self) -> bool:
        """Return whether an answer shows which process other ones lead to."""
        identity = self.load.identity
        return identity.is_in_doubt and self.leads_to_known_process()

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
