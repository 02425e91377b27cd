"""Paths to a primary: a connection of this host or a relay host."""

from typing import Final, TypeAlias, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.groups.member import Member
from mimosapond.groups.admission_request import NotAdmitted, RefusalCause
from mimosapond.groups.no_connection import NoConnection
from mimosapond.routing import failures
from mimosapond.routing.admitted_connection import (
    AdmittedConnection,
    borrow_admitted,
)
from mimosapond.routing.holder_port import HolderFinder, RunsHere
from mimosapond.routing.relay_port import Relay, RelayFinder
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure

# Time before the deadline after which a request is refused, because it could
# no longer reach its member in time.
_SEND_MARGIN_S: Final = 0.005
# Interval at which other hosts are asked while the primary is unknown.
_RELAY_RETRY_INTERVAL_S: Final = 0.1
# Wait for a connection to the primary if this host has none. After it, another
# host is asked to relay, because the primary may have no free connections.
_NO_CONNECTION_WAIT_S: Final = 0.2
_RUNS_HERE: Final = RunsHere()


@final
@attrs.frozen
class LocalPath:
    """A connection of this host to the primary, with a permit to use it."""

    member: Member
    admitted: AdmittedConnection


@final
@attrs.frozen
class RelayPath:
    """Another host that reaches the primary and can run the work there."""

    relay: Relay


Path: TypeAlias = LocalPath | RelayPath | Failure


@final
class PrimaryPathFinder:
    """Finds a path to the primary for a request."""

    def __init__(
        self,
        relays: RelayFinder,
        now: Now,
        leaving_limit_s: float,
        holders: HolderFinder = _RUNS_HERE,
    ) -> None:
        """Create a path finder.

        Parameters
        ----------
        relays
            Finds other hosts if this one cannot reach the primary.
        now
            Clock of the deadlines.
        leaving_limit_s
            Time for which a primary that is leaving still gets new work if
            no other primary has replaced it.
        holders
            Finds the hosts that hold a group if this one does not.
        """
        self._holders = holders
        self._relays = relays
        self._now = now
        self._leaving_limit_s = leaving_limit_s

    def runs_here(self, work: Work) -> bool:
        """Return whether work is not passed on to a holder of its group."""
        return self._holders.find(work.group, work.workspace) is None

    async def find(self, work: Work, *, is_transaction: bool = False) -> Path:
        """Return a path to the primary.

        Parameters
        ----------
        is_transaction
            Whether a transaction is to begin on the connection.

        Returns
        -------
        Path
            A failure if no path is found before the deadline or within the
            time that a failover may take, or at once if the primary is too
            busy. A caller that gets a local path gives its connection back.
        """
        while True:
            remaining_s = work.deadline_s - self._now() - _SEND_MARGIN_S
            if remaining_s <= 0:
                return failures.NO_CONNECTION
            holder = self._holders.find(work.group, work.workspace)
            if isinstance(holder, Failure):
                return holder
            if holder is not None:
                return RelayPath(holder)
            path = await self._find_once(
                work, remaining_s, is_transaction=is_transaction
            )
            if path is not None:
                return path

    async def _find_once(
        self, work: Work, remaining_s: float, *, is_transaction: bool
    ) -> Path | None:
        primary = work.group.primary
        if primary is None:
            return await self._await_primary(work, remaining_s)
        if primary.may_have_left_for(self._leaving_limit_s, self._now()):
            return await self._avoid_leaving(work, primary)
        wait_s = remaining_s
        if not primary.pool.open_count:
            wait_s = min(remaining_s, _NO_CONNECTION_WAIT_S)
        outcome = await borrow_admitted(
            primary, work, wait_s, is_transaction=is_transaction
        )
        match outcome:
            case AdmittedConnection():
                return LocalPath(primary, outcome)
            case NotAdmitted(cause=RefusalCause.unreachable):
                if work.group.primary is not primary:
                    return None
                return await self._find_relay(work)
            case NotAdmitted():
                return failures.not_admitted(outcome)
            case NoConnection(is_reachable=False, reason=reason):
                work.group.suspect_primary(primary, reason)
                return None
            case NoConnection():
                return await self._find_relay(work)

    async def _avoid_leaving(self, work: Work, primary: Member) -> Path:
        """Return a path to a host that knows since when a primary leaves."""
        relay = None
        if not primary.is_drain_start_known:
            relay = await self._find_relay(work)
        return relay or failures.NO_PRIMARY

    async def _await_primary(
        self, work: Work, remaining_s: float
    ) -> Path | None:
        relay = await self._find_relay(work)
        if relay is not None:
            return relay
        wait_limit_s = work.group.failover_wait_s(self._now())
        if wait_limit_s <= 0:
            return failures.NO_PRIMARY
        await work.group.await_primary(
            min(remaining_s, wait_limit_s, _RELAY_RETRY_INTERVAL_S)
        )
        return None

    async def _find_relay(self, work: Work) -> RelayPath | None:
        relay = await self._relays.find(work.group)
        return None if relay is None else RelayPath(relay)
