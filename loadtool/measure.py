"""Compares the routing policy of the product with the baseline policy.

``python -m loadtool.measure all --deployment forge --repeats 2`` runs every
measure under both policies. ``crest``, ``wait``, ``reads``, ``price`` and
``faults`` each run one measure. Each run appends its samples to a file.
``publish`` builds docs/measurements.json and the table of
docs/measurements.md from that file, and ``plot`` draws the published rows.
"""

import asyncio
import pathlib
from typing import Final, final

import fire

from loadtool import measure_files
from loadtool.measure_run import (
    UNPROXIED_MEASURES,
    PROXIED_MEASURES,
    current_commit,
    plan_trials,
    run_trial,
)

_SAMPLES_PATH: Final = 'docs/measurement-samples.jsonl'
_DEFAULT_DEPLOYMENT: Final = 'forge'


@final
class MeasureCommand:
    """Subcommands of ``python -m loadtool.measure``.

    Parameters
    ----------
    samples
        File of JSON lines that samples are appended to and published from.

    Notes
    -----
    The subcommands that measure share their parameters: ``deployment`` is
    ``forge`` or ``gemlab``, ``repeats`` is the number of runs of each measure
    under each policy, and the seeds of the runs count up from ``first_seed``.
    """

    def __init__(self, samples: str = _SAMPLES_PATH) -> None:
        """Use ``samples`` as the file of samples."""
        self._path = pathlib.Path(samples)

    def all(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Run all measures."""
        names = (*UNPROXIED_MEASURES, *PROXIED_MEASURES)
        self._run(names, deployment, repeats, first_seed)

    def crest(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Measure the share of urgent requests in time at tenfold peak load."""
        self._run(('crest',), deployment, repeats, first_seed)

    def wait(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Measure how long short statements wait while long ones run."""
        self._run(('wait',), deployment, repeats, first_seed)

    def reads(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Measure the share of reads that replicas serve, and stale reads."""
        self._run(('reads',), deployment, repeats, first_seed)

    def price(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Measure added latency, CPU time per statement and throughput."""
        self._run(('price',), deployment, repeats, first_seed)

    def faults(
        self,
        deployment: str = _DEFAULT_DEPLOYMENT,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Measure write gaps at failover, and false promotions."""
        self._run(('faults',), deployment, repeats, first_seed)

    def publish(self) -> None:
        """Write the published rows and their table from the samples."""
        measure_files.publish(measure_files.load_samples([self._path]))

    def plot(self) -> None:
        """Draw the published rows as SVG; needs the extra ``plots``."""
        from loadtool.measure_plot import draw

        draw(measure_files.load_rows(measure_files.ROWS_PATH))

    def _run(
        self,
        names: tuple[str, ...],
        deployment: str,
        repeats: int,
        first_seed: int,
    ) -> None:
        commit = current_commit()
        seeds = range(first_seed, first_seed + repeats)
        for trial in plan_trials(deployment, names, seeds):
            samples = asyncio.run(run_trial(trial, commit))
            measure_files.append_samples(self._path, samples)


if __name__ == '__main__':
    fire.Fire(MeasureCommand)
