"""Command line of the live test.

``python -m soak --seed 1 --duration_s 20 --hosts 8 --groups 3 --callers 60``
"""

import asyncio
import pathlib
import sys
import tempfile

import fire
from loguru import logger

from soak.plan import SoakPlan
from soak.soak_run import SoakRun


def run(  # noqa: WPS211 -- the flags of the command line
    seed: int,
    duration_s: float = 20,
    hosts: int = 8,
    groups: int = 3,
    callers: int = 60,
    folder: str = '',
    *,
    planned: bool = False,
    crowded: bool = False,
    series: str = '',
    interval_s: float = 0.5,
) -> None:
    """Run a live test; the exit code is 1 if it finds a violation.

    Parameters
    ----------
    seed
        Determines the fault schedule and the requests of the callers.
    folder
        Folder for settings and logs; by default a new temporary one.
    planned
        Whether to do planned work only: stops, reloads, configurations and
        drained members. Each request without an answer is judged then.
    crowded
        Whether the callers hold connections of members for most of the time.
    series
        Names of the series of faults to draw from, separated by ``+``, or
        ``primary_changes`` for all series around a change of primary.
    interval_s
        Mean time between the starts of two series.
    """
    names = tuple(series.split('+')) if series else ()
    plan = SoakPlan(
        seed,
        duration_s,
        hosts,
        groups,
        callers,
        planned,
        names,
        interval_s,
        crowded,
    )
    path = pathlib.Path(folder or tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    path.mkdir(parents=True, exist_ok=True)
    logger.remove()
    logger.add(path / 'driver.log', level='INFO')
    result = asyncio.run(SoakRun(plan, path).run())
    for name, count in result.counts.items():
        sys.stdout.write(f'{name}: {count}\n')
    for violation in result.violations:
        sys.stdout.write(f'{violation}\n')
    sys.stdout.write(
        f'seed {seed}: {len(result.violations)} violations, logs in {path}\n',
    )
    sys.exit(1 if result.violations else 0)


if __name__ == '__main__':
    fire.Fire(run)
