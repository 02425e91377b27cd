"""Starts deployments and runs measures on them."""

import random
import subprocess
import sys
import time
import types
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from typing import Final, TypeAlias, final

import aiohttp
import attrs

from loadtool.caller_client import CallerClient
from loadtool.crest_measure import CrestMeasure
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE, GEMLAB
from loadtool.fault_measure import FaultMeasure
from loadtool.load_source import LoadSource
from loadtool.measure_row import Sample
from loadtool.price_measure import PriceMeasure
from loadtool.read_measure import ReadMeasure
from loadtool.request_factory import RequestFactory
from loadtool.wait_measure import WaitMeasure

Measure: TypeAlias = Callable[[LoadSource], Awaitable[dict[str, float]]]

SPECS: Final = types.MappingProxyType({'forge': FORGE, 'gemlab': GEMLAB})
POLICIES: Final = types.MappingProxyType(
    {'chosen': 'owner', 'baseline': 'direct'},
)
_START_COUNT: Final = 3
_TAIL_SIZE: Final = 200
_START_FAULTS: Final = (RuntimeError, OSError, aiohttp.ClientError)
# Only faults need the fault proxy: as one process between all others, it
# would itself limit throughput and latency.
PLAIN_MEASURES: Final[Mapping[str, Measure]] = types.MappingProxyType(
    {
        'price': lambda source: PriceMeasure(source).run(),
        'wait': lambda source: WaitMeasure(source).run(),
        'reads': lambda source: ReadMeasure(source).run(),
        'crest': lambda source: CrestMeasure(source).run(),
    },
)
PROXIED_MEASURES: Final[Mapping[str, Measure]] = types.MappingProxyType(
    {'faults': lambda source: FaultMeasure(source).run()},
)


@final
@attrs.frozen
class Trial:
    """One start of a deployment with the measures to run on it."""

    deployment: str
    policy: str
    seed: int
    measures: tuple[str, ...]
    is_proxied: bool


def plan_trials(
    deployment: str,
    names: Sequence[str],
    seeds: Sequence[int],
) -> Iterator[Trial]:
    """Yield trials in which the policies alternate."""
    for number, seed in enumerate(seeds):
        policies = list(POLICIES)
        if number % 2:
            policies.reverse()
        for known, is_proxied in (
            (PLAIN_MEASURES, False),
            (PROXIED_MEASURES, True),
        ):
            chosen = tuple(name for name in names if name in known)
            for policy in policies:
                if chosen:
                    yield Trial(deployment, policy, seed, chosen, is_proxied)


async def run_trial(trial: Trial, commit: str) -> list[Sample]:
    """Run a trial, again from the start when a port was taken meanwhile."""
    left_count = _START_COUNT
    while True:
        left_count -= 1
        try:
            return await _run_once(trial, commit)
        except _START_FAULTS as error:
            if not left_count:
                raise
            sys.stdout.write(f'not started: {str(error)[-_TAIL_SIZE:]}\n')


def current_commit() -> str:
    """Return the short id of the commit that is measured."""
    command = ('git', 'rev-parse', '--short', 'HEAD')
    return subprocess.check_output(command, text=True).strip()


async def _run_once(trial: Trial, commit: str) -> list[Sample]:
    spec = attrs.evolve(
        SPECS[trial.deployment],
        routing_policy=POLICIES[trial.policy],
    )
    figures: dict[str, float] = {}
    deployment = Deployment(spec, is_proxied=trial.is_proxied)
    async with deployment, CallerClient() as client:
        source = LoadSource(
            deployment,
            client,
            RequestFactory(spec.service),
            random.Random(trial.seed),
        )
        for name in trial.measures:
            figures.update(await _run_measure(name, source))
    return [
        Sample(
            trial.deployment,
            trial.policy,
            measure,
            float(figure),
            trial.seed,
            commit,
        )
        for measure, figure in figures.items()
    ]


async def _run_measure(name: str, source: LoadSource) -> dict[str, float]:
    measure = {**PLAIN_MEASURES, **PROXIED_MEASURES}[name]
    begun_s = time.monotonic()
    figures = await measure(source)
    spec = source.deployment.spec
    sys.stdout.write(
        f'{spec.service} {spec.routing_policy} {name}'
        f' in {time.monotonic() - begun_s:.1f} s\n',
    )
    for measure_name, figure in figures.items():
        sys.stdout.write(f'    {measure_name} {figure:.4g}\n')
    sys.stdout.flush()
    return figures
