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
    """

    seed: int
    duration_s: float = 20
    hosts: int = 8
    groups: int = 3
    callers: int = 60
    is_planned_only: bool = False
