"""Finds the log position that a member must have applied to serve a read."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.configuration.route import Freshness, Route
from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.work import Work

_MS_PER_S: Final = 1000
# Pause between probes. Without it, a busy primary, which refuses probes at
# once, would be probed in a tight loop.
_PROBE_INTERVAL_S: Final = 0.01


@final
class ReadPositionFinder:
    """Finds the lowest position that covers all commits a read must see."""

    def __init__(self, probe: PrimaryProbe, now: Now) -> None:
        """Use a probe to learn positions that are new enough."""
        self._probe = probe
        self._now = now

    async def find(self, work: Work) -> LogPosition | None:
        """Return the position that the read has to wait for.

        Returns
        -------
        LogPosition | None
            None if no position is known before the deadline, or if the
            primary is lost and has not been replaced in time.
        """
        reference_s = work.arrived_s - _max_age_s(work.route)
        group = work.group
        position = group.observations.covering_position(reference_s)
        while position is None:
            remaining_s = work.deadline_s - self._now()
            if remaining_s <= 0:
                return None
            await self._probe.refresh(group, remaining_s)
            position = group.observations.covering_position(reference_s)
            if position is None and group.failover_wait_s(self._now()) <= 0:
                return None
            if position is None:
                await asyncio.sleep(_PROBE_INTERVAL_S)
        return max(position, _floor_position(work) or position)


def _max_age_s(route: Route) -> float:
    if route.freshness is Freshness.latest:
        return 0
    return route.max_age_ms / _MS_PER_S


def _floor_position(work: Work) -> LogPosition | None:
    """Return the position that covers the session's own commits, if any.

    The position after a commit may include commits of other sessions that
    were lost with the primary. A position that was read from a primary after
    the acknowledgement does not include them, so the lower of the two is used.
    """
    if work.floor is None:
        return None
    covering_position = work.group.observations.covering_position(
        work.floor.acknowledged_s
    )
    if covering_position is None:
        return work.floor.position
    return min(covering_position, work.floor.position)
