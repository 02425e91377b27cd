"""The log position that a member needs before it may answer a read."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.configuration.route import Freshness, Route
from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.work import Work

_MS_PER_S: Final = 1000
# A busy primary refuses a probe at once, and would be asked without a pause.
_PROBE_INTERVAL_S: Final = 0.01


@final
class ReadPositionFinder:
    """Finds positions that cover what a read has to see."""

    def __init__(self, probe: PrimaryProbe, now: Now) -> None:
        """Take the probe that learns new positions."""
        self._probe = probe
        self._now = now

    async def find(self, work: Work) -> LogPosition | None:
        """Return the position to wait for; None if none is known in time."""
        reference_s = work.arrived_s - _allowed_age_s(work.route)
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
        return max(position, _floor(work) or position)


def _allowed_age_s(route: Route) -> float:
    if route.freshness is Freshness.latest:
        return 0
    return route.max_age_ms / _MS_PER_S


def _floor(work: Work) -> LogPosition | None:
    """Return the position that shows the session its own commits.

    The position after a commit may include commits of others that were lost
    with the primary; one that was asked for later does not.
    """
    if work.floor is None:
        return None
    covering_position = work.group.observations.covering_position(
        work.floor.acknowledged_s
    )
    if covering_position is None:
        return work.floor.position
    return min(covering_position, work.floor.position)
