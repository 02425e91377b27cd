"""Follows the primary of one group; one task for each group."""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.primary_change import PrimaryChange
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe

_TICK_S: Final = 0.1
_SEARCH_PAUSE_S: Final = 0.04
# Silence of a primary that has requests under way before it is probed.
_SILENT_S: Final = 0.25
# A primary without requests is probed this often, so that positions that
# cover reads of a bounded age are at hand.
_QUIET_S: Final = 0.5
# A search this long without any primary counts as the loss of the primary.
_LOST_AFTER_S: Final = 0.15
# Idle connections beyond the kept ones are closed after this time, as other
# hosts need them.
_IDLE_S: Final = 3.0
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
        self._last: Member | None = None
        self._lost_since_s: float | None = None

    async def run(self) -> None:
        """Follow the primary until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:  # noqa: BLE001 -- the watch must go on
                logger.bind(group=self._group.name).exception('watch_failed')
                await asyncio.sleep(_TICK_S)

    async def _step(self) -> None:
        group = self._group
        primary = group.primary
        if primary is None:
            await self._search()
            return
        self._last = primary
        self._lost_since_s = None
        self._trim()
        if primary.record.is_leaving:
            await self._change.hand_over(group, primary)
        await self._check(primary)
        group.doubt.clear()
        try:
            async with asyncio.timeout(_TICK_S):
                await group.doubt.wait()
        except TimeoutError:
            return

    async def _check(self, primary: Member) -> None:
        load = primary.load
        silent_s = self._now() - load.heard_s
        newest = self._group.observations.newest
        proof_age_s = self._now() - newest.asked_s if newest else _QUIET_S
        is_suspect = load.oldest_age_s() > _SILENT_S and silent_s > _SILENT_S
        if not is_suspect and proof_age_s < _QUIET_S:
            return
        if await self._probe.ask(self._group, primary) is None:
            await self._confirm(primary)

    async def _confirm(self, primary: Member) -> None:
        if self._now() - primary.load.heard_s < _SILENT_S:
            return
        primary.pool.drop_idle()
        if await self._probe.ask(self._group, primary) is None:
            if self._now() - primary.load.heard_s > _SILENT_S:
                self._group.doubt_primary(primary, 'no answer')

    async def _search(self) -> None:
        group = self._group
        if not group.members:
            await asyncio.sleep(_TICK_S)
            return
        if self._lost_since_s is None:
            self._lost_since_s = self._now()
        await asyncio.gather(
            *(
                self._probe.ask(group, member)
                for member in tuple(group.members.values())
                if member.unlisted_since_s is None
            ),
        )
        if group.primary is not None:
            return
        if self._now() - self._lost_since_s > _LOST_AFTER_S:
            await self._change.replace_lost(group, self._find_lost())
        await asyncio.sleep(_SEARCH_PAUSE_S)

    def _find_lost(self) -> Member | None:
        if self._last is not None:
            if self._last.member_id in self._group.members:
                return self._last
        for member in self._group.members.values():
            if member.record.reports_primary:
                return member
        return None

    def _trim(self) -> None:
        for member in self._group.members.values():
            member.pool.trim(_KEEP_COUNT, _IDLE_S)
