"""Sums the expected cost of the work that is served before given work."""

import math
from collections.abc import Hashable
from typing import Final, TypeVar, final

_Key = TypeVar('_Key', bound=Hashable)

# Resolution of deadlines; deadlines within the same tick are equal.
_TICK_S: Final = 0.008
# Each node has four children. One tree covers a block of 4 ** 8 ticks (524 s).
# Only a few blocks are in use at the same time.
_NODE_BITS: Final = 2
_SHIFTS: Final = tuple(range(0, 16, _NODE_BITS))
_BLOCK_SHIFT: Final = 16


@final
class BacklogIndex:
    """Cost by class rank and deadline, in a sparse tree of deadlines.

    An update changes one node per level and a query reads at most three nodes
    per level, so their run time does not depend on the queue length. Costs are
    integers, so that sums return to exactly zero.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._totals_us: dict[int, int] = {}
        self._nodes_us: dict[tuple[int, int, int], int] = {}
        self._blocks_us: dict[tuple[int, int], int] = {}

    def add(self, rank: int, due_s: float, cost_us: int) -> None:
        """Add ``cost_us`` for work; its negative value removes it again."""
        _add(self._totals_us, rank, cost_us)
        tick = math.ceil(due_s / _TICK_S)
        for shift in _SHIFTS:
            _add(self._nodes_us, (rank, shift, tick >> shift), cost_us)
        _add(self._blocks_us, (rank, tick >> _BLOCK_SHIFT), cost_us)

    def cost_ahead_us(self, rank: int, due_s: float) -> int:
        """Return the total cost of the work that is served first.

        This is the work with a smaller rank, and the work with the same rank
        whose deadline is not later.
        """
        # The query includes the work in the same tick.
        tick = math.ceil(due_s / _TICK_S) + 1
        cost_ahead_us = sum(
            cost_us
            for known, cost_us in self._totals_us.items()
            if known < rank
        )
        cost_ahead_us += self._blocks_before_us(rank, tick >> _BLOCK_SHIFT)
        for shift in _SHIFTS:
            end = tick >> shift
            first = end >> _NODE_BITS << _NODE_BITS
            cost_ahead_us += sum(
                self._nodes_us.get((rank, shift, index), 0)
                for index in range(first, end)
            )
        return cost_ahead_us

    def _blocks_before_us(self, rank: int, end: int) -> int:
        return sum(
            cost_us
            for (known, block), cost_us in self._blocks_us.items()
            if known == rank and block < end
        )


def _add(sums_us: dict[_Key, int], key: _Key, cost_us: int) -> None:
    """Add to one sum; sums of zero are removed to limit the memory use."""
    sum_us = sums_us.get(key, 0) + cost_us
    if sum_us:
        sums_us[key] = sum_us
    else:
        sums_us.pop(key, None)
