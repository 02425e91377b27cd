"""Keeps this host's data connections to one member."""

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
# Writes must succeed again within 2 s of a fault, so probes stay frequent.
_LONGEST_BACKOFF_S: Final = 0.5


@final
class ConnectionPool:
    """Opens connections when first needed and keeps clean ones open.

    The scheduler limits how many are in use; the pool checks that no more
    are open. The most recently used connection is reused first, so that a
    pool that was larger than needed leaves the rest untouched.
    """

    def __init__(
        self,
        member: MemberAddress,
        target: TargetPort,
        clock: Clock,
        cap_count: int,
        connect_timeout_s: float,
    ) -> None:
        """Start without a connection."""
        self._member = member
        self._target = target
        self._clock = clock
        self._cap_count = cap_count
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[TargetConnection] = []
        self._is_closed = False
        self._backoff_s = _FIRST_BACKOFF_S
        self._retry_at_s = clock.monotonic_s()
        self._problem = ''
        self.open_count = 0

    async def take(self) -> TargetConnection | Refused:
        """Return a warm connection, or open one.

        The timeout does not depend on the caller's deadline: a caller in a
        hurry must not make the member look unreachable for the others.
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
        """Keep a connection in a known clean state, close any other.

        A connection that closed itself got no answer. The idle ones may have
        lost their peer by the same fault and would each cost a caller its
        deadline, so they are closed too.
        """
        if not connection.is_open:
            self._close_idle()
        if reusable and connection.is_open and not self._is_closed:
            self._idle.append(connection)
        else:
            self._discard(connection)

    def close(self) -> None:
        """Close idle connections now and the others when they come back."""
        self._is_closed = True
        self._close_idle()

    def reopen(self) -> None:
        """Keep connections again."""
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
            # Attempts that failed together count as one.
            self._retry_at_s = now_s + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, _LONGEST_BACKOFF_S)

    def _refuse(self) -> Refused:
        left_s = self._retry_at_s - self._clock.monotonic_s()
        return refuse(
            RefusalReason.TARGET_UNREACHABLE,
            retry_after_ms=max(1, round(left_s * MS_PER_S)),
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
            holds=0 <= self.open_count <= self._cap_count,
        )
