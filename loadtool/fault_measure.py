"""Failover gap, with and without the platform, and false promotions.

All links pass the fault proxy, since one fault is a primary that is cut off.
"""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, final

from loadtool.load_source import LoadSource
from loadtool.write_stream import WriteStream
from standins.child_process import ChildProcess

_KILL_GROUP: Final = 0
_PAUSE_GROUP: Final = 1
_CUT_GROUP: Final = 2
_SETTLED_COUNT: Final = 20
_LONGEST_GAP_S: Final = 12
_LEAD_S: Final = 0.5
_HOLD_S: Final = 3
_SETTLE_S: Final = 1.5

Mend: TypeAlias = Callable[[], Awaitable[None]]


@final
class FaultMeasure:
    """Faults of one proxied deployment, harmless ones first."""

    def __init__(self, source: LoadSource) -> None:
        """Use a started deployment; members are lost on the way."""
        self._source = source
        self._deployment = source.deployment

    async def run(self) -> dict[str, float]:
        """Return gaps in seconds and the number of false promotions."""
        figures = await self.run_false_promotions()
        return {**figures, **await self.run_gaps()}

    async def run_false_promotions(self) -> dict[str, float]:
        """Return how many primaries changed although all were healthy."""
        platform = await self._changes(self._platform_outage)
        silent = await self._changes(self._silent_connections)
        cut_off = await self._changes(self._cut_off_host)
        return {
            'false_promotions_count': platform + silent + cut_off,
            'promotions_platform_count': platform,
            'promotions_silent_count': silent,
            'promotions_cut_off_count': cut_off,
        }

    async def run_gaps(self) -> dict[str, float]:
        """Return the gap after each fault, and the longest of each kind."""
        kill_s = await self._gap(_KILL_GROUP, self._kill)
        pause_s = await self._gap(_PAUSE_GROUP, self._pause)
        cut_s = await self._gap(_CUT_GROUP, self._cut)
        await asyncio.sleep(_SETTLE_S)
        await self._deployment.set_platform_faults(down=True)
        down_pause_s = await self._gap(_PAUSE_GROUP, self._pause)
        down_cut_s = await self._gap(_CUT_GROUP, self._cut)
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

    async def _gap(
        self,
        group_index: int,
        fault: Callable[[str], Awaitable[Mend]],
    ) -> float:
        group = self._deployment.groups[group_index].name
        primary = await self._deployment.primary(group)
        async with WriteStream(self._source, group_index) as stream:
            await asyncio.sleep(_LEAD_S)
            begun_s = time.monotonic()
            mend = await fault(primary)
            # Answers under way at the fault may still arrive after it.
            await asyncio.sleep(_LEAD_S)
            await stream.wait_writes(
                time.monotonic(), _SETTLED_COUNT, _LONGEST_GAP_S
            )
            gap_s = stream.gap_s(begun_s)
        await mend()
        await asyncio.sleep(_SETTLE_S)
        return gap_s

    async def _kill(self, primary: str) -> Mend:
        await self._deployment.processes.children[primary].kill()
        return _nothing

    async def _pause(self, primary: str) -> Mend:
        child = self._deployment.processes.children[primary]
        child.pause()
        return functools.partial(_resume, child)

    async def _cut(self, primary: str) -> Mend:
        await self._deployment.cut(primary)
        return functools.partial(self._deployment.cut, primary, is_cut=False)

    async def _changes(self, fault: Callable[[], Awaitable[None]]) -> int:
        before = await self._primaries()
        await fault()
        await asyncio.sleep(_SETTLE_S)
        after = await self._primaries()
        return sum(old != new for old, new in zip(before, after, strict=True))

    async def _primaries(self) -> list[str]:
        return [
            await self._deployment.primary(group.name)
            for group in self._deployment.groups
        ]

    async def _platform_outage(self) -> None:
        await self._deployment.set_platform_faults(down=True)
        await asyncio.sleep(_HOLD_S)
        await self._deployment.set_platform_faults(down=False)

    async def _silent_connections(self) -> None:
        await self._deployment.set_faults(silent=True)
        await asyncio.sleep(_HOLD_S)

    async def _cut_off_host(self) -> None:
        view = await self._deployment.view(self._deployment.groups[0].name)
        holder = str(view['holder']).split('.', 1)[0]
        await self._deployment.cut(holder)
        await asyncio.sleep(_HOLD_S)
        await self._deployment.cut(holder, is_cut=False)


async def _nothing() -> None:
    """Leave a killed member dead."""


async def _resume(child: ChildProcess) -> None:
    child.resume()
