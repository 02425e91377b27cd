"""Pool of this host's data connections to one member."""

from typing import Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.errors import refuse
from mimosapond.invariants import check_invariant
from mimosapond.member_address import MemberAddress
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.target_connection import TargetConnection
from mimosapond.target_port import TargetPort
from mimosapond.target_results import TargetSilent

_FIRST_BACKOFF_S: Final = 0.05
# Writes must succeed again within 2 s of a fault, so connection attempts must
# stay frequent.
_LONGEST_BACKOFF_S: Final = 0.5


@final
class ConnectionPool:
    """Opens connections when first needed and keeps clean ones open.

    The scheduler limits the number of connections in use, and the pool checks
    that no more are open. The most recently used connection is reused first.
    So if the pool is larger than needed, its other connections stay unused.
    """

    def __init__(
        self,
        member: MemberAddress,
        target: TargetPort,
        clock: Clock,
        connection_cap_count: int,
        connect_timeout_s: float,
    ) -> None:
        """Create a pool without connections.

        Parameters
        ----------
        connection_cap_count
            Largest number of connections that may be open.
        connect_timeout_s
            Timeout of one connection attempt.
        """
        self._member = member
        self._target = target
        self._clock = clock
        self._connection_cap_count = connection_cap_count
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[TargetConnection] = []
        self._is_closed = False
        self._backoff_s = _FIRST_BACKOFF_S
        self._retry_at_s = clock.monotonic_s()
        self._problem = ''
        self.open_count = 0

    async def borrow(self) -> TargetConnection | Refused:
        """Return an idle connection or open a new connection.

        The timeout does not depend on the caller's deadline. Otherwise a caller
        with a short deadline could make the member look unreachable to other
        callers.

        Returns
        -------
        TargetConnection or Refused
            Refused if the connection attempt failed, or if the back-off after
            an earlier failure has not passed.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            self._discard(connection)
        if self._clock.monotonic_s() < self._retry_at_s:
            return self._refuse()
        return await self._open()

    def give_back(
        self, connection: TargetConnection, *, reusable: bool
    ) -> None:
        """Return a connection to the pool, or close it.

        A connection that has closed itself received no answer. The idle
        connections may have lost their peer through the same fault, and each
        would cost a caller its deadline, so they are closed too.

        Parameters
        ----------
        reusable
            Whether the connection is in a known clean state.
        """
        if not connection.is_open:
            self._close_idle()
        if reusable and connection.is_open and not self._is_closed:
            self._idle.append(connection)
        else:
            self._discard(connection)

    def close(self) -> None:
        """Close idle connections now, and the others when they are returned."""
        self._is_closed = True
        self._close_idle()

    def reopen(self) -> None:
        """Keep returned connections open again."""
        self._is_closed = False

    async def _open(self) -> TargetConnection | Refused:
        self.open_count += 1
        opened: TargetConnection | TargetSilent | None = None
        self._check()
        try:
            opened = await self._target.connect(
                self._member, self._connect_timeout_s
            )
        finally:
            if opened is None or isinstance(opened, TargetSilent):
                self.open_count -= 1
        if isinstance(opened, TargetSilent):
            self._back_off(opened.problem)
            return self._refuse()
        self._backoff_s = _FIRST_BACKOFF_S
        return opened

    def _back_off(self, problem: str) -> None:
        now_s = self._clock.monotonic_s()
        self._problem = problem
        if now_s >= self._retry_at_s:
            # Concurrent attempts that fail lengthen the back-off only once.
            self._retry_at_s = now_s + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, _LONGEST_BACKOFF_S)

    def _refuse(self) -> Refused:
        remaining_s = self._retry_at_s - self._clock.monotonic_s()
        return refuse(
            RefusalReason.TARGET_UNREACHABLE,
            retry_after_ms=max(1, round(remaining_s * MS_PER_S)),
            member=self._member.name,
            problem=self._problem,
        )

    def _close_idle(self) -> None:
        while self._idle:
            self._discard(self._idle.pop())

    def _discard(self, connection: TargetConnection) -> None:
        connection.close()
        self.open_count -= 1
        self._check()

    def _check(self) -> None:
        check_invariant(
            '0 <= open connections <= cap',
            self._member.name,
            holds=0 <= self.open_count <= self._connection_cap_count,
        )
