"""Measures the control traffic and cost of the spread area.

Instances run in one process over in-memory peer links, with a probe interval
of 1 s on a clock that is advanced by hand; only CPU time is real. Traffic
counts sent and received messages with WebSocket headers, without those of TCP.
"""

import asyncio
import random
import sys
import time
from collections.abc import Sequence
from typing import Final, final

import attrs

from loadtool.simulated_environment import SimulatedEnvironment
from loadtool.spread_instance import SpreadInstance
from loadtool.spread_options import PERIOD_S
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.service_document import ServiceDocument

_HOST_COUNTS: Final = (4, 8, 20, 60, 200, 420)
_SEED: Final = 20
_SPREAD_LIMIT_COUNT: Final = 100
_ANTI_ENTROPY_PERIOD_COUNT: Final = 30
_CENTRE_COUNT: Final = 6
# The two-year target has 560 databases for 420 hosts.
_GROUPS_PER_HOST_RATIO: Final = 4 / 3
_US_PER_S: Final = 1_000_000
_PERCENT: Final = 100
_FIRST_PORT: Final = 10_000
_SUFFIX_BYTES: Final = 4
# The target has about 600 changes of host records a day, one in 144 s.
_QUIET: Final = (False,) * 30
_CHURN: Final = (True, *(False,) * 9) * 3
_BURST: Final = (True,) * 10
_HEADER: Final = """\
Per host: messages/s and bytes/s without changes, with one change in 10 s and
with one change a second in the fleet; CPU us per period without changes and
with one a second; share of hosts that a pushed document reaches, and periods
until all have it.
hosts messages quiet_B/s churn_B/s burst_B/s quiet_us burst_us pushed_% periods
"""
_ROW: Final = (
    '{:5d} {:8.2f} {:9.0f} {:9.0f} {:9.0f} {:8.0f} {:8.0f} {:8.1f} {:7d}\n'
)


@final
@attrs.frozen
class Load:
    """Mean figures per host and period."""

    bytes_per_s: float
    messages_per_s: float
    cpu_us: float


@final
class Fleet:
    """A number of instances that know each other."""

    def __init__(self, host_count: int) -> None:
        """Build the instances."""
        self._rng = random.Random(_SEED)
        self._environment = SimulatedEnvironment()
        self._network = self._environment.network
        self._period = 0
        self._records = [
            self._build_record(index) for index in range(host_count)
        ]
        self.instances: list[SpreadInstance] = []

    async def start(self) -> None:
        """Build the instances with full knowledge."""
        for record in self._records:
            instance = SpreadInstance(
                record,
                self._environment,
                random.Random(self._rng.random()),
                known=tuple(self._records),
                views=await self._build_views(),
            )
            self.instances.append(instance)

    async def run_period(self) -> None:
        """Run one period of all instances, in random order."""
        self._period += 1
        self._rng.shuffle(self.instances)
        for index, instance in enumerate(self.instances):
            await instance.run_period()
            slot = (self._period + index) % _ANTI_ENTROPY_PERIOD_COUNT
            if slot == 0:
                await instance.anti_entropy.step()
        self._environment.clock.skip(PERIOD_S)

    async def measure(self, changes: Sequence[bool]) -> Load:
        """Run one period per item; where it is true, one host changes."""
        self._network.traffic_bytes.clear()
        self._network.message_count.clear()
        started_s = time.process_time()
        for is_change in changes:
            if is_change:
                self._change()
            await self.run_period()
        spent_s = time.process_time() - started_s
        divisor = len(changes) * len(self.instances)
        return Load(
            self._network.traffic_bytes.total() / divisor / PERIOD_S,
            self._network.message_count.total() / divisor / PERIOD_S,
            spent_s * _US_PER_S / divisor,
        )

    async def spread_document(self) -> tuple[float, int]:
        """Apply a document at one host.

        Returns
        -------
        tuple[float, int]
            Share of hosts reached by pushes alone, and periods until all have
            the document.
        """
        document = ServiceDocument('forge-ledger', (), (), (), revision=1)
        self.instances[0].store.apply(document)
        reached_count = 0
        while reached_count < self._reached():
            reached_count = self._reached()
            for instance in self.instances:
                await instance.documents.push()
        period_count = 0
        while self._reached() < len(self.instances):
            if period_count == _SPREAD_LIMIT_COUNT:
                raise RuntimeError('the document did not reach all hosts')
            await self.run_period()
            period_count += 1
        return reached_count / len(self.instances), period_count

    def _reached(self) -> int:
        return sum(
            1
            for instance in self.instances
            if instance.store.revision('forge-ledger')
        )

    def _build_record(self, index: int) -> HostRecord:
        suffix = self._rng.randbytes(_SUFFIX_BYTES).hex()
        port = _FIRST_PORT + index
        centre = index % _CENTRE_COUNT
        return HostRecord(
            f'entry-{index}-{suffix}',
            f'127.0.0.1:{port}',
            f'centre-{centre}',
        )

    async def _build_views(self) -> GroupViews:
        views = GroupViews()
        for index in range(int(len(self._records) * _GROUPS_PER_HOST_RATIO)):
            name = f'group-{index}'
            await views.merge(GroupView(name, 1, f'{name}-member-1', ''))
        return views

    def _change(self) -> None:
        instance = self._rng.choice(self.instances)
        own = instance.membership.own
        # Refuting a report changes the host's own record, like any event.
        instance.membership.merge(
            attrs.evolve(own, state=HostState.SUSPECT),
        )


async def measure_fleet(host_count: int) -> str:
    """Return the table row for one number of hosts."""
    fleet = Fleet(host_count)
    await fleet.start()
    quiet = await fleet.measure(_QUIET)
    share, period_count = await fleet.spread_document()
    churn = await fleet.measure(_CHURN)
    burst = await fleet.measure(_BURST)
    return _ROW.format(
        host_count,
        quiet.messages_per_s,
        quiet.bytes_per_s,
        churn.bytes_per_s,
        burst.bytes_per_s,
        quiet.cpu_us,
        burst.cpu_us,
        share * _PERCENT,
        period_count,
    )


def main(arguments: Sequence[str]) -> None:
    """Print the table for the given or the default numbers of hosts."""
    sys.stdout.write(_HEADER)
    for host_count in map(int, arguments or map(str, _HOST_COUNTS)):
        sys.stdout.write(asyncio.run(measure_fleet(host_count)))
        sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
