"""A member that counts its connections by workspace, and borrowers of a pool."""

import asyncio
from typing import Final, final

import attrs

from features.group_builders import build_record
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.member_answer import Rejected, RejectionKind
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_record import MemberRecord
from mimosapond.statements.reply import SessionState

_MEMBER: Final = 'm1'
# Time after which the member has noticed the end of a connection.
_CLOSE_S: Final = 0.001
_DIAL_S: Final = 0.012
_WAIT_S: Final = 60.0


@final
class CountedConnection:
    """An idle connection; only what a pool uses of ``MemberConnection``."""

    name = _MEMBER
    state = SessionState.idle

    def __init__(self, member: 'CountingMember', workspace: str) -> None:
        """Open it for a workspace."""
        self._member = member
        self.workspace = workspace
        self.is_open = True

    def close(self) -> None:
        """Close it; the member notices this later."""
        if self.is_open:
            self.is_open = False
            loop = asyncio.get_running_loop()
            loop.call_later(_CLOSE_S, self._member.forget)


@final
@attrs.define(eq=False)
class CountingMember:
    """Accepts connections up to its limit; implements ``MemberDialer``."""

    limit_count: int = 1000
    open_count: int = 0
    most_open_count: int = 0
    dialing_count: int = 0
    # Time, outcome and number of dials under way for each attempt.
    attempts: list[tuple[float, bool, int]] = attrs.field(factory=list)

    async def dial(
        self, record: MemberRecord, workspace: str = ''
    ) -> CountedConnection | Rejected:
        """Accept or refuse a connection after the time that opening takes."""
        self.dialing_count += 1
        started_s = asyncio.get_running_loop().time()
        under_way_count = self.dialing_count
        is_accepted = self.open_count < self.limit_count
        self.attempts.append((started_s, is_accepted, under_way_count))
        if is_accepted:
            self.open_count += 1
            self.most_open_count = max(self.most_open_count, self.open_count)
        await asyncio.sleep(_DIAL_S)
        self.dialing_count -= 1
        if is_accepted:
            return CountedConnection(self, workspace)
        kind = RejectionKind.too_many_connections
        return Rejected(kind, 'full', SessionState.idle, None)

    def forget(self) -> None:
        """Notice the end of a connection."""
        self.open_count -= 1


def build_pool(member: CountingMember, limit_count: int) -> ConnectionPool:
    """Build a pool in the running loop, whose clock it uses."""
    now = asyncio.get_running_loop().time
    pool = ConnectionPool(build_record(_MEMBER), member, MemberLoad(now), now)
    pool.limit_count = limit_count
    return pool


async def use(
    pool: ConnectionPool,
    workspace: str | None,
    duration_s: float,
    priority: int = 1,
    wait_s: float = _WAIT_S,
    *,
    is_transaction: bool = False,
) -> str | None:
    """Borrow a connection for a time, and return its workspace.

    Returns
    -------
    str | None
        None if there was no connection in time.
    """
    lease = await pool.borrow(
        priority, wait_s, {}, workspace, is_transaction=is_transaction
    )
    if not isinstance(lease, ConnectionLease):
        return None
    await asyncio.sleep(duration_s)
    found = lease.link.workspace
    lease.release()
    return found
