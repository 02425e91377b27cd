"""What a live test is made of."""

from typing import final

import attrs


@final
@attrs.frozen
class SoakPlan:
    """Sizes of a live test.

    Attributes
    ----------
    seed
        Fixes the schedule of faults and what callers ask.
    """

    seed: int
    duration_s: float = 20
    hosts: int = 8
    groups: int = 3
    callers: int = 60
