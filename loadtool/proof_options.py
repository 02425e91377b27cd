"""Flags of the proof run."""

from collections.abc import Iterable
from typing import final

import attrs


@final
@attrs.frozen
class ProofOptions:
    """What to run.

    Attributes
    ----------
    seed, seeds
        One seed, or several, separated by commas.
    duration_s
        Time of faults for each seed.
    minutes
        Goes on with the seeds after the last one until this time is over.
    deployment
        ``forge`` or ``gemlab``.
    hosts
        Number of hosts, 4 to 8.
    faults
        Kinds of faults to meet in turn instead of the seeded schedule.
    folder
        Takes the output of the processes and the history.
    """

    seed: int = 1
    seeds: Iterable[int] | int = ()
    duration_s: float = 30
    minutes: float = 0
    deployment: str = 'forge'
    hosts: int = 5
    faults: Iterable[str] | str = ()
    folder: str = ''
