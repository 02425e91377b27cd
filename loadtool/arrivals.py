"""Arrival times of an open-loop load, fixed before the load starts.

Latency is counted from these times. This avoids coordinated omission: a slow
system cannot hide waiting time by slowing down the load.
"""

import itertools
import random
from collections.abc import Iterable, Iterator
from typing import final

import attrs


@final
@attrs.frozen
class Phase:
    """Period of load with a constant mean rate.

    Attributes
    ----------
    duration_s
        Length of the phase.
    rate_per_s
        Mean number of arrivals per second; 0 for none.
    """

    duration_s: float
    rate_per_s: float


def poisson_arrivals(
    phases: Iterable[Phase],
    randomness: random.Random,
) -> Iterator[float]:
    """Yield arrival times of a Poisson process in seconds since the start."""
    start_s: float = 0
    for phase in phases:
        yield from _phase_arrivals(start_s, phase, randomness)
        start_s += phase.duration_s


def steady_arrivals(phase: Phase) -> Iterator[float]:
    """Yield evenly spaced arrival times in seconds since the start."""
    for number in itertools.count():
        arrival_s = number / phase.rate_per_s
        if arrival_s >= phase.duration_s:
            return
        yield arrival_s


def _phase_arrivals(
    start_s: float,
    phase: Phase,
    randomness: random.Random,
) -> Iterator[float]:
    if phase.rate_per_s <= 0:
        return
    arrival_s = randomness.expovariate(phase.rate_per_s)
    while arrival_s < phase.duration_s:
        yield start_s + arrival_s
        arrival_s += randomness.expovariate(phase.rate_per_s)
