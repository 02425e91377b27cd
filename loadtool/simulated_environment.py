"""Simulated environment that all instances in one process share."""

from typing import final

import attrs

from loadtool.manual_clock import ManualClock
from loadtool.memory_network import MemoryNetwork
from loadtool.memory_platform import MemoryPlatform


@final
@attrs.frozen
class SimulatedEnvironment:
    """In-memory network, in-memory platform and manual clock of a fleet."""

    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    clock: ManualClock = attrs.field(factory=ManualClock)
