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
    """

    seed: int
    duration_s: float = 20
    hosts: int = 8
    groups: int = 3
    callers: int = 60
