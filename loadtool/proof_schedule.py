"""The seeded order of faults of one run."""

import itertools
import random
from collections.abc import Iterator
from typing import Final, final

import attrs

from loadtool.proof_fault import FaultKind

_SHORTEST_S: Final = 1
_LONGEST_S: Final = 4
_LONGEST_CALM_S: Final = 1.2
_LONGEST_OFFSET_S: Final = 0.8
_PAIR_RATIO: Final = 0.4
# Their checks hold only when nothing else is broken.
_ALONE: Final = frozenset((FaultKind.DRAIN_TARGET,))


@final
@attrs.frozen
class PlannedFaults:
    """One fault, or two at once, followed by a calm time.

    Attributes
    ----------
    kinds, holds_s
        One or two entries.
    offset_s
        How much later the second one begins.
    """

    kinds: tuple[FaultKind, ...]
    holds_s: tuple[float, ...]
    offset_s: float
    calm_s: float


def plan_faults(randomness: random.Random) -> Iterator[PlannedFaults]:
    """Deal all kinds in random order, again and again."""
    deck: list[FaultKind] = []
    for _ in itertools.count():
        if len(deck) < 2:
            more = list(FaultKind)
            randomness.shuffle(more)
            deck = more + deck
        kinds = [deck.pop()]
        is_pair = randomness.random() < _PAIR_RATIO
        if is_pair and _ALONE.isdisjoint((kinds[0], deck[-1])):
            kinds.append(deck.pop())
        yield PlannedFaults(
            kinds=tuple(kinds),
            holds_s=tuple(
                randomness.uniform(_SHORTEST_S, _LONGEST_S) for _ in kinds
            ),
            offset_s=randomness.uniform(0, _LONGEST_OFFSET_S),
            calm_s=randomness.uniform(0, _LONGEST_CALM_S),
        )
