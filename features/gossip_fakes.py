"""In-process hosts for the gossip and documents features."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from loadtool.gossip_instance import GossipInstance
from loadtool.simulated_environment import SimulatedEnvironment
from mimosapond.host_record import HostRecord

_SEED: Final = 7
_CLOCK_STEP_S: Final = 0.1
_FIRST_PORT: Final = 7000

_Value = TypeVar('_Value')


class GossipFleet:
    """Named hosts that share a network, platform, clock and event loop."""

    def __init__(self, host_count: int) -> None:
        """Start hosts that know only the seed addresses of host-1 and host-2."""
        self.around = SimulatedEnvironment()
        self.hosts: dict[str, GossipInstance] = {}
        self.rng = random.Random(_SEED)
        self.runner = asyncio.Runner()
        self._generation = 0
        for number in range(1, host_count + 1):
            self.start(f'host-{number}')

    def start(self, name: str) -> GossipInstance:
        """Start or restart a host under a new host id."""
        self._generation += 1
        record = HostRecord(
            f'{name}-{self._generation}',
            self.address(name),
            'centre-1',
        )
        self.hosts[name] = GossipInstance(
            record,
            self.around,
            random.Random(self.rng.random()),
            seeds=(self.address('host-1'), self.address('host-2')),
        )
        return self.hosts[name]

    def address(self, name: str) -> str:
        """Return the peer address of a host."""
        port = _FIRST_PORT + int(name.rpartition('-')[2])
        return f'127.0.0.1:{port}'

    def stop(self, name: str) -> None:
        """Stop a host without an announcement, as a crash does."""
        self.around.network.detach(self.address(name))
        self.hosts.pop(name)

    def cut(self, first: str, second: str) -> None:
        """Cut the calls between two hosts in both directions."""
        pair = (self.address(first), self.address(second))
        self.around.network.blocked_links.add(pair)
        self.around.network.blocked_links.add((pair[1], pair[0]))

    def isolate(self, name: str) -> None:
        """Cut a host off from all others."""
        for other in self.hosts:
            if other != name:
                self.cut(name, other)

    def reconnect(self) -> None:
        """Remove all cuts between hosts."""
        self.around.network.blocked_links.clear()

    def run(self, work: Coroutine[Any, Any, _Value]) -> _Value:
        """Run ``work`` while the clock advances."""
        return self.runner.run(self._run_with_clock(work))

    def run_periods(self, count: int) -> None:
        """Run on each host the work of ``count`` probe periods."""
        self.runner.run(self._periods(count))

    def compare(self) -> None:
        """Run one anti-entropy step of each host."""
        self.runner.run(self._compare())

    def push(self) -> None:
        """Push until a round of all hosts sends no message, without probes."""
        self.runner.run(self._push())

    async def _run_with_clock(
        self,
        work: Coroutine[Any, Any, _Value],
    ) -> _Value:
        task = asyncio.create_task(work)
        await self.around.clock.settle()
        while not task.done():
            await self.around.clock.advance(_CLOCK_STEP_S)
        return await task

    async def _periods(self, count: int) -> None:
        for _ in range(count):
            hosts = list(self.hosts.values())
            self.rng.shuffle(hosts)
            for host in hosts:
                await host.run_period()
            self.around.clock.skip(1)

    async def _compare(self) -> None:
        for host in self.hosts.values():
            await host.anti_entropy.step()

    async def _push(self) -> None:
        before = -1
        counted = self.around.network.message_count
        while before < counted.total():
            before = counted.total()
            for host in self.hosts.values():
                await host.pusher.push()
                await host.documents.push()
