"""Command-line flags of the proof run."""

from collections.abc import Iterable
from typing import final

import attrs


@final
@attrs.frozen
class ProofOptions:
    """Seeds, load, deployment and faults of a proof run.

    Attributes
    ----------
    seed, seeds
        Seed, or several seeds separated by commas, which replace ``seed``.
    duration_s
        Time of load and faults for each seed.
    minutes
        Time after the given seeds during which further seeds are run, counting
        up from the last one.
    deployment
        Deployment to start: ``forge`` or ``gemlab``.
    hosts
        Number of hosts, 4 to 8.
    faults
        Kinds of faults to inject in turn instead of the seeded schedule.
    folder
        Folder for the logs of the processes, the history and the database
        logs; empty to keep none.
    """

    seed: int = 1
    seeds: Iterable[int] | int = ()
    duration_s: float = 30
    minutes: float = 0
    deployment: str = 'forge'
    hosts: int = 5
    faults: Iterable[str] | str = ()
    folder: str = ''
