"""Follows the primary of one group; one task for each group."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.primary_change import PrimaryChange
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult

_TICK_S: Final = 0.1
_SEARCH_PAUSE_S: Final = 0.04
# Silence of a primary that has requests under way before it is probed.
_SILENT_S: Final = 0.25
# A primary without requests is probed this often, so that positions that
# cover reads of a bounded age are at hand.
_QUIET_S: Final = 0.5
# A search this long without any primary counts as the loss of the primary.
_LOST_AFTER_S: Final = 0.15
# A write this long without an answer raises the question whether the primary
# still reaches its replicas.
_STALLED_S: Final = 0.5
# Pause after a change that could not be made; doubled each time.
_CHANGE_PAUSE_S: Final = 0.15
_CHANGE_PAUSE_MAX_S: Final = 0.6
# Idle connections beyond the kept ones are closed after this time: other
# hosts need them, and those of a host that lost power count for seconds.
_IDLE_S: Final = 0.5
_KEEP_COUNT: Final = 1


@final
class PrimaryWatch:
    """Probes the primary, searches for a new one and has a lost one replaced."""

    def __init__(
        self,
        group: Group,
        probe: PrimaryProbe,
        change: PrimaryChange,
        now: Now,
    ) -> None:
        """Take the group to follow."""
        self._group = group
        self._probe = probe
        self._change = change
        self._now = now
        self._lost_since_s: float | None = None
        self._change_pause_s = _CHANGE_PAUSE_S
        self._next_change_s: float = 0

    async def run(self) -> None:
        """Follow the primary until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:  # noqa: BLE001 -- the watch must go on
                logger.bind(group=self._group.name).exception('watch_failed')
                await asyncio.sleep(_TICK_S)

    async def _step(self) -> None:
        primary = self._group.primary
        if primary is None:
            await self._search()
            return
        self._lost_since_s = None
        self._trim()
        if primary.record.is_leaving:
            await self._attempt(self._change.hand_over(self._group, primary))
        await self._check(primary)
        self._group.doubt.clear()
        await self._pause()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(_TICK_S):
                await self._group.doubt.wait()
        except TimeoutError:
            return

    async def _check(self, primary: Member) -> None:
        load = primary.load
        is_suspect = load.oldest_age_s() > _SILENT_S and self._is_silent(
            primary
        )
        newest = self._group.observations.newest
        proof_age_s = self._now() - newest.asked_s if newest else _QUIET_S
        if is_suspect or proof_age_s > _QUIET_S:
            result = await self._probe.ask(self._group, primary)
            if result is ProbeResult.silent:
                await self._confirm(primary)
                return
        if load.oldest_age_s(writes_only=True) > _STALLED_S:
            await self._attempt(
                self._change.replace_stalled(self._group, primary),
            )

    async def _confirm(self, primary: Member) -> None:
        """Ask again on a new connection, as the old ones may be silent."""
        primary.pool.drop_idle()
        result = await self._probe.ask(self._group, primary)
        if result is ProbeResult.silent and self._is_silent(primary):
            self._group.doubt_primary(primary, 'no answer')

    def _is_silent(self, member: Member) -> bool:
        return self._now() - member.load.heard_s > _SILENT_S

    async def _search(self) -> None:
        group = self._group
        if self._lost_since_s is None:
            self._lost_since_s = self._now()
        results = await asyncio.gather(
            *(
                self._probe.ask(group, member)
                for member in tuple(group.members.values())
                if member.unlisted_since_s is None
            ),
        )
        if group.primary is not None:
            return
        is_lost = self._now() - self._lost_since_s > _LOST_AFTER_S
        # A crowded member may be the primary.
        if results and is_lost and ProbeResult.crowded not in results:
            await self._attempt(self._change.replace_lost(group))
        await asyncio.sleep(_SEARCH_PAUSE_S if results else _TICK_S)

    async def _attempt(self, change: Coroutine[Any, Any, bool]) -> None:
        if self._now() < self._next_change_s:
            change.close()
            return
        if await change:
            self._change_pause_s = _CHANGE_PAUSE_S
            return
        jitter = 1 + random.random()
        self._next_change_s = self._now() + self._change_pause_s * jitter
        self._change_pause_s = min(
            self._change_pause_s * 2, _CHANGE_PAUSE_MAX_S
        )

    def _trim(self) -> None:
        for member in self._group.members.values():
            member.pool.trim(_KEEP_COUNT, _IDLE_S)
