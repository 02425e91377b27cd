"""Measures the traffic and CPU time of gossip at several fleet sizes.

Run with ``python -m loadtool.gossip_bench [HOST_COUNT ...]``. All instances run
in one process and are connected by in-memory peer links. The probe interval is
1 s on a manually advanced clock; only CPU time is real. Traffic counts sent and
received messages, with WebSocket headers and without TCP headers.
"""

import asyncio
import random
import sys
import time
from collections.abc import Sequence
from typing import Final, final

import attrs

from loadtool.gossip_instance import GossipInstance
from loadtool.gossip_options import PROBE_INTERVAL_S
from loadtool.simulated_environment import SimulatedEnvironment
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.service_document import ServiceDocument

_HOST_COUNTS: Final = (4, 8, 20, 60, 200, 420)
_SEED: Final = 20
# Periods after which the distribution of a document counts as failed.
_PERIOD_LIMIT_COUNT: Final = 100
_ANTI_ENTROPY_PERIOD_COUNT: Final = 30
_CENTRE_COUNT: Final = 6
# The planned size after two years is 560 databases and 420 hosts.
_GROUPS_PER_HOST_RATIO: Final = 4 / 3
_US_PER_S: Final = 1_000_000
_PERCENT: Final = 100
_FIRST_PORT: Final = 10_000
_SUFFIX_BYTES: Final = 4
# Whether one host record changes in each period. The planned fleet has about
# 600 changes a day, or one in 144 s.
_NO_CHANGES: Final = (False,) * 30
_SLOW_CHANGES: Final = (True, *(False,) * 9) * 3
_FAST_CHANGES: Final = (True,) * 10
_TABLE_HEADER: Final = """\
Per host: messages/s and bytes/s without changes, with one change in 10 s and
with one change a second in the fleet; CPU us per period without changes and
with one a second; share of hosts that a pushed document reaches, and periods
until all have it.
hosts messages quiet_B/s churn_B/s burst_B/s quiet_us burst_us pushed_% periods
"""
_TABLE_ROW: Final = (
    '{:5d} {:8.2f} {:9.0f} {:9.0f} {:9.0f} {:8.0f} {:8.0f} {:8.1f} {:7d}\n'
)


@final
@attrs.frozen
class GossipCost:
    """Mean traffic and processor time per host.

    Attributes
    ----------
    bytes_per_s, messages_per_s
        Sent and received.
    cpu_us
        Processor time per period.
    """

    bytes_per_s: float
    messages_per_s: float
    cpu_us: float


@final
class Fleet:
    """Instances that share an in-memory network and a clock."""

    def __init__(self, host_count: int) -> None:
        """Build the records of the hosts; ``start`` builds the instances."""
        self._rng = random.Random(_SEED)
        self._environment = SimulatedEnvironment()
        self._network = self._environment.network
        self._period = 0
        self._records = [
            self._build_record(index) for index in range(host_count)
        ]
        self.instances: list[GossipInstance] = []

    async def start(self) -> None:
        """Build the instances; each knows all hosts and groups."""
        for record in self._records:
            instance = GossipInstance(
                record,
                self._environment,
                random.Random(self._rng.random()),
                known=tuple(self._records),
                views=await self._build_views(),
            )
            self.instances.append(instance)

    async def run_period(self) -> None:
        """Run one probe period of all instances, in random order."""
        self._period += 1
        self._rng.shuffle(self.instances)
        for index, instance in enumerate(self.instances):
            await instance.run_period()
            turn = (self._period + index) % _ANTI_ENTROPY_PERIOD_COUNT
            if turn == 0:
                await instance.anti_entropy.step()
        self._environment.clock.skip(PROBE_INTERVAL_S)

    async def measure(self, changes: Sequence[bool]) -> GossipCost:
        """Run one period per item of ``changes`` and return the cost.

        Where the item is true, the record of one host changes first.
        """
        self._network.traffic_bytes.clear()
        self._network.message_count.clear()
        started_s = time.process_time()
        for is_change in changes:
            if is_change:
                self._change_host()
            await self.run_period()
        cpu_s = time.process_time() - started_s
        host_period_count = len(changes) * len(self.instances)
        return GossipCost(
            self._network.traffic_bytes.total()
            / host_period_count
            / PROBE_INTERVAL_S,
            self._network.message_count.total()
            / host_period_count
            / PROBE_INTERVAL_S,
            cpu_s * _US_PER_S / host_period_count,
        )

    async def distribute_document(self) -> tuple[float, int]:
        """Apply a document at one host and distribute it to all.

        Returns
        -------
        tuple[float, int]
            Share of hosts that pushes alone reach, and further periods until
            all hosts have the document.

        Raises
        ------
        RuntimeError
            Some host lacks the document after 100 periods.
        """
        document = ServiceDocument('forge-ledger', (), (), (), revision=1)
        self.instances[0].store.apply(document)
        reached_count = 0
        while reached_count < self._count_reached():
            reached_count = self._count_reached()
            for instance in self.instances:
                await instance.documents.push()
        period_count = 0
        while self._count_reached() < len(self.instances):
            if period_count == _PERIOD_LIMIT_COUNT:
                raise RuntimeError('the document did not reach all hosts')
            await self.run_period()
            period_count += 1
        return reached_count / len(self.instances), period_count

    def _count_reached(self) -> int:
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

    def _change_host(self) -> None:
        instance = self._rng.choice(self.instances)
        own = instance.membership.own
        # The host refutes the report that it is suspect, which changes its own
        # record.
        instance.membership.merge(
            attrs.evolve(own, state=HostState.SUSPECT),
        )


async def measure_fleet(host_count: int) -> str:
    """Return the table row for a fleet of ``host_count`` hosts."""
    fleet = Fleet(host_count)
    await fleet.start()
    without_changes = await fleet.measure(_NO_CHANGES)
    pushed_ratio, period_count = await fleet.distribute_document()
    slow_changes = await fleet.measure(_SLOW_CHANGES)
    fast_changes = await fleet.measure(_FAST_CHANGES)
    return _TABLE_ROW.format(
        host_count,
        without_changes.messages_per_s,
        without_changes.bytes_per_s,
        slow_changes.bytes_per_s,
        fast_changes.bytes_per_s,
        without_changes.cpu_us,
        fast_changes.cpu_us,
        pushed_ratio * _PERCENT,
        period_count,
    )


def main(arguments: Sequence[str]) -> None:
    """Print a row for each number of hosts in ``arguments``.

    Without arguments, the default numbers of hosts are used.
    """
    sys.stdout.write(_TABLE_HEADER)
    for host_count in map(int, arguments or map(str, _HOST_COUNTS)):
        sys.stdout.write(asyncio.run(measure_fleet(host_count)))
        sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
