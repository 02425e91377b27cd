"""Interface of the connections to members."""

from typing import Protocol, TypeAlias

from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import LinkLost, MemberAnswer, Rejected
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.member_status import MemberStatus
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Shape,
)

StatusAnswer: TypeAlias = MemberStatus | Rejected | LinkLost


class MemberConnection(Protocol):
    """One open connection, which carries one request at a time.

    ``limit_s`` is the timeout of a request. ``wait_for`` is a log position that
    the member has to reach before it executes the request; None for no wait.
    After the answer ``LinkLost`` the connection is closed.
    """

    @property
    def name(self) -> str:
        """Name of the connection in logs."""

    @property
    def is_open(self) -> bool:
        """Whether requests can be made."""

    @property
    def state(self) -> SessionState | None:
        """State after the last answer; None while an answer is incomplete."""

    async def run(
        self,
        request_id: str,
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Execute a read, a write or a commit."""

    async def run_prepared(
        self,
        request_id: str,
        name: str,
        arguments: str,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Execute the statement that is prepared under ``name``."""

    async def begin(
        self,
        statement: Begin,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Begin a transaction.

        Only a primary accepts one that is not read-only, so its acceptance
        proves that the member is the primary.
        """

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """Roll the open transaction back."""

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Set a session value."""

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Prepare a statement under ``name``."""

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear the session values and the prepared statements."""

    async def status(self, limit_s: float) -> StatusAnswer:
        """Ask for the role and the log position of the member."""

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop a replica from receiving the log, for the given term."""

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Let a paused replica receive the log again."""

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Demote the member to a replica, if it is primary of a lower term."""

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""


class MemberDialer(Protocol):
    """Opens connections to members."""

    async def dial(
        self, record: MemberRecord, workspace: str = ''
    ) -> MemberConnection | Rejected | LinkLost:
        """Open a connection to exactly this incarnation of the member.

        Parameters
        ----------
        workspace
            Name of the workspace whose statements the connection carries;
            empty in a deployment without workspaces and for requests of the
            product itself.

        Returns
        -------
        MemberConnection | Rejected | LinkLost
            ``Rejected`` if the member refuses the connection, for example
            because another incarnation now uses the address.
        """
