"""Start of a series of faults."""

import random
from collections.abc import Iterator
from typing import TypeAlias, final

import attrs

from soak.fault import Fault
from soak.layout import MEMBER_COUNT
from soak.plan import SoakPlan

Series: TypeAlias = Iterator[Fault]


@final
@attrs.frozen
class SeriesStart:
    """Start time of a series and random choice of its targets."""

    plan: SoakPlan
    rng: random.Random
    at_s: float

    def hosts(self, max_count: int) -> tuple[int, ...]:
        """Return some hosts, at most ``max_count``."""
        count = self.rng.randint(1, min(max_count, self.plan.hosts))
        return tuple(self.rng.sample(range(self.plan.hosts), count))

    def group(self) -> int:
        """Return a group."""
        return self.rng.randrange(self.plan.groups)

    def member(self) -> tuple[int, int]:
        """Return a member of a group."""
        return self.group(), self.rng.randrange(MEMBER_COUNT)

    def duration_s(self, max_s: float) -> float:
        """Return a duration between a tenth of ``max_s`` and ``max_s``."""
        return self.rng.uniform(max_s / 10, max_s)

    def after_s(self, min_s: float, max_s: float) -> float:
        """Return a time after the start of the series."""
        return self.at_s + self.rng.uniform(min_s, max_s)
