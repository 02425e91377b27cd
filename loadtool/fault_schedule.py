"""Random schedule of the faults of a run, derived from its seed."""

import itertools
import random
from collections.abc import Iterator
from typing import Final, final

import attrs

from loadtool.proof_fault import FaultKind

_MIN_HOLD_S: Final = 1
_MAX_HOLD_S: Final = 4
_MAX_CALM_S: Final = 1.2
_MAX_OFFSET_S: Final = 0.8
_PAIR_RATIO: Final = 0.4
# The checks of these faults are only valid without a concurrent fault.
_NOT_PAIRED: Final = frozenset((FaultKind.DRAIN_TARGET,))


@final
@attrs.frozen
class PlannedFaults:
    """A fault, or two concurrent faults, after a pause without faults.

    Attributes
    ----------
    kinds, holds_s
        Kinds of the one or two faults, and how long each stays in effect.
    offset_s
        Delay of the second fault after the first.
    calm_s
        Length of the pause before the faults.
    """

    kinds: tuple[FaultKind, ...]
    holds_s: tuple[float, ...]
    offset_s: float
    calm_s: float


def plan_faults(randomness: random.Random) -> Iterator[PlannedFaults]:
    """Yield faults without end; each round contains all kinds once.

    The order of the kinds in a round, the pairs and all times are random.
    """
    pending: list[FaultKind] = []
    for _ in itertools.count():
        if len(pending) < 2:
            next_round = list(FaultKind)
            randomness.shuffle(next_round)
            pending = next_round + pending
        kinds = [pending.pop()]
        is_pair = randomness.random() < _PAIR_RATIO
        if is_pair and _NOT_PAIRED.isdisjoint((kinds[0], pending[-1])):
            kinds.append(pending.pop())
        yield PlannedFaults(
            kinds=tuple(kinds),
            holds_s=tuple(
                randomness.uniform(_MIN_HOLD_S, _MAX_HOLD_S) for _ in kinds
            ),
            offset_s=randomness.uniform(0, _MAX_OFFSET_S),
            calm_s=randomness.uniform(0, _MAX_CALM_S),
        )
