"""Follows the primary of one group; one task for each group."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.member_fanout import gather_answers
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult
from mimosapond.routing.relay_port import RelayFinder

_POLL_INTERVAL_S: Final = 0.1
_SEARCH_INTERVAL_S: Final = 0.04
# Between two searches while another host reaches the primary.
_RELAYED_SEARCH_INTERVAL_S: Final = 0.25
# Silence of a primary that has requests under way before it is probed.
_SILENCE_LIMIT_S: Final = 0.2
# An empty transaction waits for no slot, so an answer takes a few milliseconds.
_FIRST_PROBE_TIMEOUT_S: Final = 0.15
# On a new connection; longer than the limit for connecting.
_SECOND_PROBE_TIMEOUT_S: Final = 0.35
# A primary without requests is probed this often, so that positions that
# cover reads of a bounded age are at hand.
_IDLE_PROBE_INTERVAL_S: Final = 0.5
# Between two checks of a replica.
_REPLICA_PROBE_INTERVAL_S: Final = 0.5
# A search this long without any primary counts as the loss of the primary.
_LOST_AFTER_S: Final = 0.15
# A write this long without an answer raises the question whether the primary
# still reaches its replicas.
_STALLED_WRITE_AGE_S: Final = 0.5
# Pause after a change that could not be made; doubled each time.
_FAILOVER_BACKOFF_S: Final = 0.15
_FAILOVER_BACKOFF_MAX_S: Final = 0.6
# Idle connections beyond the kept ones are closed after this time: other
# hosts need them, and those of a host that lost power count for seconds.
_IDLE_CONNECTION_TIMEOUT_S: Final = 0.5
_KEPT_IDLE_COUNT: Final = 1


@final
class PrimaryMonitor:
    """Probes the primary, searches for a new one and has a lost one replaced."""

    def __init__(
        self,
        group: Group,
        probe: PrimaryProbe,
        failover: FailoverCoordinator,
        relays: RelayFinder,
        now: Now,
    ) -> None:
        """Take the group to follow, and who may reach its primary."""
        self._group = group
        self._probe = probe
        self._failover = failover
        self._relays = relays
        self._now = now
        self._lost_since_s: float | None = None
        self._failover_backoff_s = _FAILOVER_BACKOFF_S
        self._next_failover_s: float = 0
        self._replica_probed_s: dict[str, float] = {}
        self._replica_probes: set[asyncio.Task[ProbeResult]] = set()

    async def run(self) -> None:
        """Follow the primary until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:  # noqa: BLE001 -- the watch must go on
                logger.bind(group=self._group.name).exception('watch_failed')
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _step(self) -> None:
        primary = self._group.primary
        if primary is None:
            await self._search()
            return
        self._lost_since_s = None
        self._close_idle_connections()
        self._probe_replicas(primary)
        if primary.record.is_leaving:
            await self._attempt_failover(
                self._failover.hand_over(self._group, primary)
            )
        await self._check_primary(primary)
        self._group.primary_check_needed.clear()
        await self._wait_for_doubt()

    async def _wait_for_doubt(self) -> None:
        try:
            async with asyncio.timeout(_POLL_INTERVAL_S):
                await self._group.primary_check_needed.wait()
        except TimeoutError:
            return

    async def _check_primary(self, primary: Member) -> None:
        newest = self._group.observations.newest
        proof_age_s = (
            self._now() - newest.asked_s if newest else _IDLE_PROBE_INTERVAL_S
        )
        if self._is_suspect(primary) or proof_age_s > _IDLE_PROBE_INTERVAL_S:
            result = await self._probe_twice(primary)
            if result is ProbeResult.silent and self._is_silent(primary):
                self._group.suspect_primary(primary, 'no answer')
                return
        if (
            primary.load.oldest_request_age_s(writes_only=True)
            > _STALLED_WRITE_AGE_S
        ):
            await self._attempt_failover(
                self._failover.replace_stalled(self._group, primary),
            )

    async def _probe_twice(self, member: Member) -> ProbeResult:
        """Ask again on a new connection, as the old ones may be silent."""
        result = await self._probe.ask(
            self._group, member, _FIRST_PROBE_TIMEOUT_S
        )
        if result in {ProbeResult.leads, ProbeResult.follows}:
            return result
        member.pool.close_idle()
        return await self._probe.ask(
            self._group, member, _SECOND_PROBE_TIMEOUT_S
        )

    def _probe_replicas(self, primary: Member) -> None:
        """Learn which replicas are in reach, without waiting for them."""
        for member in tuple(self._group.members.values()):
            is_due = member.load.is_unreachable or self._is_suspect(member)
            if member is not primary and is_due:
                self._start_replica_probe(member)

    def _start_replica_probe(self, member: Member) -> None:
        last_s = self._replica_probed_s.get(
            member.member_id, -_REPLICA_PROBE_INTERVAL_S
        )
        if self._now() - last_s < _REPLICA_PROBE_INTERVAL_S:
            return
        self._replica_probed_s[member.member_id] = self._now()
        task = asyncio.create_task(self._probe_twice(member))
        self._replica_probes.add(task)
        task.add_done_callback(self._replica_probes.discard)

    def _is_suspect(self, member: Member) -> bool:
        """Return whether the member may be out of reach.

        Members that are cut off together are found out together.
        """
        if member.unlisted_since_s is not None or not self._is_silent(member):
            return False
        is_other_missing = any(
            other.load.is_unreachable
            for other in self._group.members.values()
            if other is not member and other.unlisted_since_s is None
        )
        return (
            is_other_missing
            or member.load.oldest_request_age_s() > _SILENCE_LIMIT_S
        )

    def _is_silent(self, member: Member) -> bool:
        return not member.load.had_contact_within(_SILENCE_LIMIT_S)

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
        # A crowded member may be the primary.
        is_crowded = ProbeResult.crowded in results.values()
        if relay is not None:
            # The primary leads on; only this host does not reach it.
            await asyncio.sleep(_RELAYED_SEARCH_INTERVAL_S)
            return
        if listed and is_lost and not is_crowded:
            await self._attempt_failover(self._failover.replace_lost(group))
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
        for member in self._group.members.values():
            member.pool.trim(_KEPT_IDLE_COUNT, _IDLE_CONNECTION_TIMEOUT_S)
