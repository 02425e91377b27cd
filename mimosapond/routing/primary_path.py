"""The way to a primary: a connection of this host, or another host's."""

from typing import Final, TypeAlias, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.groups.member import Member
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing import failures
from mimosapond.routing.relay_port import Relay, RelayFinder
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure

# A request that cannot reach its member before its deadline is refused.
_SEND_MARGIN_S: Final = 0.005
# While the primary is in doubt, other hosts are asked again this often.
_RELAY_RETRY_INTERVAL_S: Final = 0.1
# A host without any connection to a crowded member tries others after this.
_FULL_MEMBER_WAIT_S: Final = 0.2


@final
@attrs.frozen
class LocalPath:
    """A borrowed connection of this host to the primary."""

    member: Member
    connection: ConnectionLease


@final
@attrs.frozen
class RelayPath:
    """Another host that reaches the primary."""

    relay: Relay


Path: TypeAlias = LocalPath | RelayPath | Failure


@final
class PrimaryPathFinder:
    """Finds the way for one request."""

    def __init__(
        self, relays: RelayFinder, now: Now, leaving_limit_s: float
    ) -> None:
        """Take the other hosts and the clock of deadlines.

        Parameters
        ----------
        leaving_limit_s
            How long a primary that leaves and has not been replaced still
            gets new work.
        """
        self._relays = relays
        self._now = now
        self._leaving_limit_s = leaving_limit_s

    async def find(self, work: Work) -> Path:
        """Return a way to the primary before the deadline."""
        while True:
            remaining_s = work.deadline_s - self._now() - _SEND_MARGIN_S
            if remaining_s <= 0:
                return failures.NO_CONNECTION
            path = await self._try(work, remaining_s)
            if path is not None:
                return path

    async def _try(self, work: Work, remaining_s: float) -> Path | None:
        primary = work.group.primary
        if primary is None:
            return await self._await_primary(work, remaining_s)
        if primary.leaving_duration_s(self._now()) > self._leaving_limit_s:
            return failures.NO_PRIMARY
        wait_s = remaining_s
        if not primary.pool.open_count:
            wait_s = min(remaining_s, _FULL_MEMBER_WAIT_S)
        connection = await primary.pool.borrow(
            work.route.priority, wait_s, work.values
        )
        if isinstance(connection, ConnectionLease):
            return LocalPath(primary, connection)
        if not connection.is_reachable:
            work.group.suspect_primary(primary, connection.reason)
            return None
        return await self._find_relay(work)

    async def _await_primary(
        self, work: Work, remaining_s: float
    ) -> Path | None:
        relay = await self._find_relay(work)
        if relay is not None:
            return relay
        patience_s = work.group.failover_wait_s(self._now())
        if patience_s <= 0:
            return failures.NO_PRIMARY
        await work.group.await_primary(
            min(remaining_s, patience_s, _RELAY_RETRY_INTERVAL_S)
        )
        return None

    async def _find_relay(self, work: Work) -> RelayPath | None:
        relay = await self._relays.find(work.group)
        return None if relay is None else RelayPath(relay)
