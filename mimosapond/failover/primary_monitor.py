"""Monitoring of the primary of one group; each group has its own task."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.member_fanout import gather_answers
from mimosapond.failover.member_probes import MemberProbes
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.groups.connection_share import HolderShare
from mimosapond.groups.group import Group
from mimosapond.groups.holding import Holding, HoldsAll
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult
from mimosapond.routing.relay_port import RelayFinder

_POLL_INTERVAL_S: Final = 0.1
_SEARCH_INTERVAL_S: Final = 0.04
# Interval at which it is checked whether this host holds the group now.
_REST_INTERVAL_S: Final = 0.5
# Time between two searches while another host reaches the primary.
_RELAYED_SEARCH_INTERVAL_S: Final = 0.25
# Interval of the probes of a primary without requests, so that log positions
# for reads of a bounded age are known.
_IDLE_PROBE_INTERVAL_S: Final = 0.5
# Time without a reachable primary after which it is considered lost.
_LOST_AFTER_S: Final = 0.15
# Age of an unanswered write after which it is checked whether the primary
# still reaches its replicas.
_STALLED_WRITE_AGE_S: Final = 0.5
# Back-off after a failed change of primary; it doubles with each failure.
_FAILOVER_BACKOFF_S: Final = 0.15
_FAILOVER_BACKOFF_MAX_S: Final = 0.6
# Idle time after which a surplus connection is closed. Other hosts need these
# connections, and members count the connections of a host that lost power for
# some seconds more.
_IDLE_CONNECTION_TIMEOUT_S: Final = 0.5
# The same at one of a few hosts that hold a group, whose shares add up to less
# than the members accept. A new connection costs the member more than an idle
# one, and most workspaces send something within this time.
_HELD_IDLE_TIMEOUT_S: Final = 30.0
# Idle connections to each member that stay open.
_KEPT_IDLE_COUNT: Final = 1
_HOLDS_ALL: Final = HoldsAll()


@final
class PrimaryMonitor:
    """Monitors the primary of one group.

    The monitor probes the primary, searches for the new primary after a
    change, and starts a failover when the primary is lost, stalled or leaving.
    """

    def __init__(
        self,
        group: Group,
        probe: PrimaryProbe,
        failover: FailoverCoordinator,
        relays: RelayFinder,
        now: Now,
        holding: Holding = _HOLDS_ALL,
    ) -> None:
        """Create a monitor that does nothing until it runs.

        Parameters
        ----------
        relays
            Finds a host that reaches the primary when this host does not.
        holding
            Tells whether this host holds the group; it does nothing otherwise.
        """
        self._group = group
        self._probe = probe
        self._failover = failover
        self._roster_update: asyncio.Task[None] | None = None
        self._relays = relays
        self._now = now
        self._holding = holding
        self._lost_since_s: float | None = None
        self._failover_backoff_s = _FAILOVER_BACKOFF_S
        self._next_failover_s: float = 0
        self._member_probes = MemberProbes(group, probe, now)

    async def run(self) -> None:
        """Monitor the primary until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:  # noqa: BLE001 -- monitoring must continue
                logger.bind(group=self._group.name).exception('watch_failed')
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _step(self) -> None:
        if not self._holding.holds(self._group.name):
            await self._rest()
            return
        primary = self._group.primary
        if primary is None:
            await self._search()
            return
        self._lost_since_s = None
        self._close_idle_connections()
        self._member_probes.start_due(primary)
        self._update_roster()
        if primary.record.is_leaving:
            await self._attempt_failover(
                self._failover.hand_over(self._group, primary)
            )
        await self._check_primary(primary)
        self._group.primary_check_needed.clear()
        await self._wait_for_next_check()

    async def _rest(self) -> None:
        """Release what is kept for a group that other hosts hold."""
        self._lost_since_s = None
        for member in self._group.members.values():
            member.pool.trim(0, _IDLE_CONNECTION_TIMEOUT_S)
        primary = self._group.primary
        if primary is not None:
            self._group.suspect_primary(primary, 'other hosts hold the group')
        self._group.primary_check_needed.clear()
        await self._wait_for_next_check(_REST_INTERVAL_S)

    async def _wait_for_next_check(
        self, limit_s: float = _POLL_INTERVAL_S
    ) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._group.primary_check_needed.wait()
        except TimeoutError:
            return

    async def _check_primary(self, primary: Member) -> None:
        newest = self._group.observations.newest
        observation_age_s = (
            self._now() - newest.asked_s if newest else _IDLE_PROBE_INTERVAL_S
        )
        if (
            self._member_probes.is_suspect(primary)
            or observation_age_s > _IDLE_PROBE_INTERVAL_S
        ):
            result = await self._member_probes.ask_twice(primary)
            if result is ProbeResult.silent and self._member_probes.is_silent(
                primary
            ):
                self._group.suspect_primary(primary, 'no answer')
                return
        if self._has_stalled_commits(primary):
            await self._attempt_failover(
                self._failover.replace_stalled_primary(self._group, primary),
            )

    def _has_stalled_commits(self, primary: Member) -> bool:
        """Return whether commits wait for a replica or for a witness.

        Beside a change that may still be carried out, no member that joined can
        become a witness.
        """
        ages_s = (
            primary.load.oldest_request_age_s(writes_only=True),
            self._group.confirmations.oldest_age_s(self._now()),
        )
        record = self._group.record
        is_pending = record is not None and record.is_change_pending(
            primary.member_id
        )
        return (
            is_pending
            or self._group.is_left_paused
            or max(ages_s) > _STALLED_WRITE_AGE_S
        )

    def _update_roster(self) -> None:
        """Start to bring the recorded witnesses up to date if it is due."""
        update = self._roster_update
        is_running = update is not None and not update.done()
        if not is_running and self._failover.roster.is_due(self._group):
            self._roster_update = asyncio.create_task(
                self._failover.roster.update(self._group)
            )

    async def _search(self) -> None:
        group = self._group
        if self._lost_since_s is None:
            self._lost_since_s = self._now()
        listed = [
            member
            for member in group.members.values()
            if member.unlisted_since_s is None
        ]
        results, relay = await asyncio.gather(
            gather_answers(
                listed, lambda member: self._probe.ask(group, member)
            ),
            self._relays.find(group),
        )
        if group.primary is not None:
            return
        is_lost = self._now() - self._lost_since_s > _LOST_AFTER_S
        # A member that accepts no more connections may be the primary.
        is_crowded = ProbeResult.crowded in results.values()
        if relay is not None:
            # The primary still leads; only this host cannot reach it.
            await asyncio.sleep(_RELAYED_SEARCH_INTERVAL_S)
            return
        if listed and is_lost and not is_crowded:
            await self._attempt_failover(
                self._failover.replace_lost_primary(group)
            )
        await asyncio.sleep(_SEARCH_INTERVAL_S if listed else _POLL_INTERVAL_S)

    async def _attempt_failover(
        self, change: Coroutine[Any, Any, bool]
    ) -> None:
        if self._now() < self._next_failover_s:
            change.close()
            return
        if await change:
            self._failover_backoff_s = _FAILOVER_BACKOFF_S
            return
        jitter = 1 + random.random()
        self._next_failover_s = self._now() + self._failover_backoff_s * jitter
        self._failover_backoff_s = min(
            self._failover_backoff_s * 2, _FAILOVER_BACKOFF_MAX_S
        )

    def _close_idle_connections(self) -> None:
        share = self._holding.share(self._group.name)
        timeout_s = (
            _HELD_IDLE_TIMEOUT_S
            if isinstance(share, HolderShare)
            else _IDLE_CONNECTION_TIMEOUT_S
        )
        for member in self._group.members.values():
            member.pool.trim(_KEPT_IDLE_COUNT, timeout_s)
