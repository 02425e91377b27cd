"""What the product asks of a connection to a member."""

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
    """One open connection; requests are made one after another.

    All limits are in seconds. An answer ``LinkLost`` leaves the connection
    closed.
    """

    @property
    def name(self) -> str:
        """Name of the connection in logs."""

    @property
    def is_open(self) -> bool:
        """Whether requests can be made."""

    @property
    def state(self) -> SessionState | None:
        """State after the last answer; None until it is whole."""

    async def run(
        self,
        request_id: str,
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a read, a write or the end of a transaction."""

    async def run_prepared(
        self,
        request_id: str,
        name: str,
        arguments: str,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a prepared name."""

    async def begin(
        self,
        statement: Begin,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Start a transaction; a plain one proves that the member leads."""

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End a transaction without keeping it."""

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Assign a session value."""

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared name."""

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear the session values and prepared names."""

    async def status(self, limit_s: float) -> StatusAnswer:
        """Ask for role and log position."""

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop a replica from receiving."""

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Let a paused replica receive again."""

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """Close; the member rolls back an open transaction."""


class MemberDialer(Protocol):
    """Opens connections to members."""

    async def dial(
        self, record: MemberRecord
    ) -> MemberConnection | Rejected | LinkLost:
        """Open a connection to exactly this life of the member."""
