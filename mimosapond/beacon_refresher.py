"""Pulls a beacon when a read needs a fresher sample than the newest one.

A beacon yields a sample: a time and the primary's log position at that time.
Idle groups thus need few periodic beacons, while replicas can still serve reads
with a low age bound.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from mimosapond.age_trackers import AgeTrackers

# Greatest age of the newest sample, as a ratio of the age bound of the read. The
# rest of the bound is left for the replication lag.
_MAX_SAMPLE_AGE_RATIO: Final = 0.5

PullBeacon: TypeAlias = Callable[[str], Awaitable[None]]


@final
class BeaconRefresher:
    """Pulls beacons; concurrent reads of a group share one pull."""

    def __init__(self, ages: AgeTrackers, pull: PullBeacon) -> None:
        """Create a refresher without pulls in flight.

        Parameters
        ----------
        ages
            Trackers that hold the samples.
        pull
            Pulls one beacon of a group and adds it to ``ages``.
        """
        self._ages = ages
        self._pull = pull
        self._pulls: dict[str, asyncio.Task[None]] = {}

    async def refresh(
        self,
        group: str,
        max_age_ms: int,
        timeout_s: float,
    ) -> None:
        """Wait for a fresh sample, and pull a beacon if there is none yet.

        The call returns when the pull ends or ``timeout_s`` has passed, whether
        or not the sample is fresh then. A timeout does not cancel the pull.

        Parameters
        ----------
        group
            Name of the group.
        max_age_ms
            Age bound of the read; with 0 nothing is pulled, because no replica
            can serve the read.
        timeout_s
            Longest time to wait.
        """
        newest_age_ms = self._ages.tracker(group).newest_age_ms()
        is_fresh = (
            newest_age_ms is not None
            and newest_age_ms <= max_age_ms * _MAX_SAMPLE_AGE_RATIO
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
