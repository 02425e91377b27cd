"""Measures write gaps at failover, and false promotions.

Gaps are measured with the platform up and with the platform down. All links
pass through the fault proxy, which can cut or silence each of them.
"""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from loadtool.load_source import LoadSource
from loadtool.write_stream import WriteStream
from standins.child_process import ChildProcess

_KILL_GROUP_INDEX: Final = 0
_PAUSE_GROUP_INDEX: Final = 1
_CUT_GROUP_INDEX: Final = 2
_RECOVERED_WRITE_COUNT: Final = 20
_RECOVERY_TIMEOUT_S: Final = 12
# Time between the start of the writes and the fault, and between the fault and
# the start of the wait for recovery.
_LEAD_S: Final = 0.5
_FAULT_S: Final = 3
_SETTLE_S: Final = 1.5

# Ends a fault.
Revert: TypeAlias = Callable[[], Awaitable[None]]


@final
class FaultMeasure:
    """Injects faults into one proxied deployment.

    Faults that should not cause a promotion come first, because the others
    change primaries.
    """

    def __init__(self, source: LoadSource) -> None:
        """Use a started deployment; one of its members is killed for good."""
        self._source = source
        self._deployment = source.deployment

    async def run(self) -> dict[str, float]:
        """Return write gaps in seconds and the numbers of false promotions."""
        promotion_counts = await self.run_false_promotions()
        return {**promotion_counts, **await self.run_gaps()}

    async def run_false_promotions(self) -> dict[str, float]:
        """Return how many primaries changed although all were healthy.

        The total and the number after each kind of fault are returned.
        """
        platform_count = await self._count_promotions(self._stop_platform)
        silent_count = await self._count_promotions(self._silence_connections)
        cut_off_count = await self._count_promotions(self._cut_off_holder)
        return {
            'false_promotions_count': (
                platform_count + silent_count + cut_off_count
            ),
            'promotions_platform_count': platform_count,
            'promotions_silent_count': silent_count,
            'promotions_cut_off_count': cut_off_count,
        }

    async def run_gaps(self) -> dict[str, float]:
        """Return the write gap after each fault, in seconds.

        The longest gap with the platform up and the longest with the platform
        down are returned as well.
        """
        kill_s = await self._measure_gap_s(_KILL_GROUP_INDEX, self._kill)
        pause_s = await self._measure_gap_s(_PAUSE_GROUP_INDEX, self._pause)
        cut_s = await self._measure_gap_s(_CUT_GROUP_INDEX, self._cut)
        await asyncio.sleep(_SETTLE_S)
        await self._deployment.set_platform_faults(down=True)
        down_pause_s = await self._measure_gap_s(
            _PAUSE_GROUP_INDEX, self._pause
        )
        down_cut_s = await self._measure_gap_s(_CUT_GROUP_INDEX, self._cut)
        await self._deployment.set_platform_faults(down=False)
        return {
            'write_gap_s': max(kill_s, pause_s, cut_s),
            'write_gap_store_down_s': max(down_pause_s, down_cut_s),
            'gap_kill_s': kill_s,
            'gap_pause_s': pause_s,
            'gap_cut_s': cut_s,
            'gap_pause_store_down_s': down_pause_s,
            'gap_cut_store_down_s': down_cut_s,
        }

    async def _measure_gap_s(
        self,
        group_index: int,
        fault: Callable[[str], Awaitable[Revert]],
    ) -> float:
        group = self._deployment.groups[group_index].name
        primary = await self._deployment.primary(group)
        async with WriteStream(self._source, group_index) as stream:
            await asyncio.sleep(_LEAD_S)
            fault_start_s = time.monotonic()
            revert = await fault(primary)
            # Answers that were in flight at the fault may arrive after it.
            await asyncio.sleep(_LEAD_S)
            await stream.wait_writes(
                time.monotonic(), _RECOVERED_WRITE_COUNT, _RECOVERY_TIMEOUT_S
            )
            gap_s = stream.gap_s(fault_start_s)
        await revert()
        await asyncio.sleep(_SETTLE_S)
        return gap_s

    async def _kill(self, primary: str) -> Revert:
        await self._deployment.processes.children[primary].kill()
        return _leave_killed

    async def _pause(self, primary: str) -> Revert:
        child = self._deployment.processes.children[primary]
        child.pause()
        return functools.partial(_resume, child)

    async def _cut(self, primary: str) -> Revert:
        await self._deployment.cut(primary)
        return functools.partial(self._deployment.cut, primary, is_cut=False)

    async def _count_promotions(
        self, fault: Callable[[], Awaitable[None]]
    ) -> int:
        before = await self._find_primaries()
        await fault()
        await asyncio.sleep(_SETTLE_S)
        after = await self._find_primaries()
        return sum(old != new for old, new in zip(before, after, strict=True))

    async def _find_primaries(self) -> list[str]:
        return [
            await self._deployment.primary(group.name)
            for group in self._deployment.groups
        ]

    async def _stop_platform(self) -> None:
        await self._deployment.set_platform_faults(down=True)
        await asyncio.sleep(_FAULT_S)
        await self._deployment.set_platform_faults(down=False)

    async def _silence_connections(self) -> None:
        await self._deployment.set_faults(silent=True)
        await asyncio.sleep(_FAULT_S)

    async def _cut_off_holder(self) -> None:
        view = await self._deployment.view(self._deployment.groups[0].name)
        holder = str(view['holder']).split('.', 1)[0]
        await self._deployment.cut(holder)
        await asyncio.sleep(_FAULT_S)
        await self._deployment.cut(holder, is_cut=False)


async def _leave_killed() -> None:
    """Do nothing, because a killed member is not restarted."""


async def _resume(child: ChildProcess) -> None:
    child.resume()
