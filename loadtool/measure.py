"""Measures the product against the baseline policy.

``python -m loadtool.measure all --deployment forge --seeds 1,2`` runs all
measures with both policies in turn; ``crest``, ``wait``, ``reads``, ``price``
and ``faults`` run one. Samples are appended to a file, from which ``publish``
writes docs/measurements.json and the table of docs/measurements.md; ``plot``
draws the rows.
"""

import asyncio
import pathlib
from typing import Final, final

import fire

from loadtool import measure_files
from loadtool.measure_run import (
    PLAIN_MEASURES,
    PROXIED_MEASURES,
    current_commit,
    plan_trials,
    run_trial,
)

_SAMPLES: Final = 'docs/measurement-samples.jsonl'
_FORGE: Final = 'forge'


@final
class MeasureCommand:
    """Subcommands of ``python -m loadtool.measure``."""

    def __init__(self, samples: str = _SAMPLES) -> None:
        """Append samples to the file ``samples``."""
        self._path = pathlib.Path(samples)

    def all(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Run every measure."""
        names = (*PLAIN_MEASURES, *PROXIED_MEASURES)
        self._run(names, deployment, repeats, first_seed)

    def crest(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Service of urgent orders at a tenfold crest."""
        self._run(('crest',), deployment, repeats, first_seed)

    def wait(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Wait of short statements behind long ones."""
        self._run(('wait',), deployment, repeats, first_seed)

    def reads(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Share of replica reads, and stale reads."""
        self._run(('reads',), deployment, repeats, first_seed)

    def price(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Added latency, CPU and throughput."""
        self._run(('price',), deployment, repeats, first_seed)

    def faults(
        self,
        deployment: str = _FORGE,
        repeats: int = 1,
        first_seed: int = 1,
    ) -> None:
        """Failover gaps and false promotions."""
        self._run(('faults',), deployment, repeats, first_seed)

    def publish(self) -> None:
        """Write rows and table from the samples."""
        measure_files.publish(measure_files.load_samples([self._path]))

    def plot(self) -> None:
        """Draw the published rows; needs the extra ``plots``."""
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
