"""Proves the invariants on real processes behind the fault proxy.

``python -m loadtool.proof_run --seed 3 --duration_s 60``: starts a deployment,
lets sessions roam over its hosts while faults are met in an order that the seed
decides, and checks the callers' history against the logs that are left.
"""

import asyncio
import pathlib
import sys
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, Final

import attrs
import fire

from loadtool.deployment_spec import FORGE, GEMLAB, DeploymentSpec
from loadtool.proof_fault import FaultKind
from loadtool.proof_result import ProofResult
from loadtool.proof_seed import run_trial

_SPECS: Final = MappingProxyType({'forge': FORGE, 'gemlab': GEMLAB})


def run(
    seed: int = 1,
    seeds: Iterable[int] | int = (),
    duration_s: float = 30,
    deployment: str = 'forge',
    hosts: int = 5,
    faults: Iterable[str] | str = (),
    folder: str = '',
) -> None:
    """Run one or several seeds in turn; exit with 1 unless all pass.

    Parameters
    ----------
    seed, seeds
        One seed, or several, separated by commas.
    duration_s
        Time of faults for each seed.
    deployment
        ``forge`` or ``gemlab``.
    hosts
        Number of hosts, 4 to 8.
    faults
        Kinds of faults to meet in turn instead of the seeded schedule.
    folder
        Takes the output of the processes and the history.
    """
    spec = attrs.evolve(
        _SPECS[deployment],
        host_count=hosts,
        log_level='INFO' if folder else 'WARNING',
    )
    kinds = tuple(FaultKind(word) for word in _listed(faults))
    chosen = tuple(_listed(seeds)) or (seed,)
    path = pathlib.Path(folder) if folder else None
    passed = [_run_one(spec, one, duration_s, kinds, path) for one in chosen]
    sys.stdout.write(f'{sum(passed)} of {len(passed)} seeds passed\n')
    sys.exit(0 if all(passed) else 1)


def _run_one(
    spec: DeploymentSpec,
    seed: int,
    duration_s: float,
    kinds: tuple[FaultKind, ...],
    folder: pathlib.Path | None,
) -> bool:
    result = asyncio.run(run_trial(spec, seed, duration_s, kinds, folder))
    _show(result, spec)
    return result.is_passed


def _show(result: ProofResult, spec: DeploymentSpec) -> None:
    sys.stdout.write(f'--- {spec.service}, {spec.host_count} hosts\n')
    for line in result.lines():
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _listed(words: Any) -> list[Any]:
    if isinstance(words, (tuple, list)):
        return list(words)
    return [words]


if __name__ == '__main__':
    fire.Fire(run)
