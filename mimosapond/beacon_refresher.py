"""Pulls a beacon when reads need fresher dates than the periodic ones.

Idle groups then need few beacons, while reads with a tight age bound may still
be served by replicas.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from mimosapond.age_trackers import AgeTrackers

# A pair this young leaves the rest of the bound to replication lag.
_FRESH_RATIO: Final = 0.5

PullBeacon: TypeAlias = Callable[[str], Awaitable[None]]


@final
class BeaconRefresher:
    """Reads of one group share the pull in flight."""

    def __init__(self, ages: AgeTrackers, pull: PullBeacon) -> None:
        """Pull with ``pull``, which notes the beacon in ``ages``."""
        self._ages = ages
        self._pull = pull
        self._pulls: dict[str, asyncio.Task[None]] = {}

    async def refresh(
        self,
        group: str,
        max_age_ms: int,
        timeout_s: float,
    ) -> None:
        """Return when the newest pair is fresh, or the pull has ended.

        Parameters
        ----------
        group
            Name of the group.
        max_age_ms
            Bound of the read; with 0 no replica can serve it.
        timeout_s
            Longest time to wait.
        """
        newest_age_ms = self._ages.tracker(group).newest_age_ms()
        is_fresh = (
            newest_age_ms is not None
            and newest_age_ms <= max_age_ms * _FRESH_RATIO
        )
        if is_fresh or not max_age_ms:
            return
        await asyncio.wait({self._shared_pull(group)}, timeout=timeout_s)

    def _shared_pull(self, group: str) -> asyncio.Task[None]:
        running = self._pulls.get(group)
        if running is None:
            running = asyncio.create_task(self._run(group))
            self._pulls[group] = running
        return running

    async def _run(self, group: str) -> None:
        try:
            await self._pull(group)
        finally:
            self._pulls.pop(group, None)
