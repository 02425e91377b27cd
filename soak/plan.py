"""Parameters of a live test."""

from typing import final

import attrs


@final
@attrs.frozen
class SoakPlan:
    """Seed, duration and sizes of a live test.

    Attributes
    ----------
    seed
        Determines the fault schedule and the requests of the callers.
    hosts, groups, callers
        Number of each.
    is_planned_only
        Whether all faults are planned work: stops, reloads, configurations
        and drained members. Every request without an answer is judged then.
    series_names
        Series of faults to draw from; empty for the usual ones.
    interval_s
        Mean time between the starts of two series.
    is_crowded
        Whether the callers hold connections of members for most of the time.
    """

    seed: int
    duration_s: float = 20
    hosts: int = 8
    groups: int = 3
    callers: int = 60
    is_planned_only: bool = False
    series_names: tuple[str, ...] = ()
    interval_s: float = 0.5
    is_crowded: bool = False
