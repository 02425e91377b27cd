"""Plans trials, starts a deployment for each and runs measures on it."""

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
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE, GEMLAB
from loadtool.fault_measure import FaultMeasure
from loadtool.load_source import LoadSource
from loadtool.measure_row import Sample
from loadtool.overhead_measure import OverheadMeasure
from loadtool.peak_load_measure import PeakLoadMeasure
from loadtool.read_measure import ReadMeasure
from loadtool.request_factory import RequestFactory
from loadtool.wait_measure import WaitMeasure

Measure: TypeAlias = Callable[[LoadSource], Awaitable[dict[str, float]]]

SPECS: Final = types.MappingProxyType({'forge': FORGE, 'gemlab': GEMLAB})
POLICIES: Final = types.MappingProxyType(
    {'chosen': 'owner', 'baseline': 'direct'},
)
_ATTEMPT_COUNT: Final = 3
_ERROR_TAIL_LENGTH: Final = 200
_RETRIED_ERRORS: Final = (RuntimeError, OSError, aiohttp.ClientError)
# Only the fault measure runs with the fault proxy. The proxy is a single
# process on all links, so it would limit throughput and add latency in others.
UNPROXIED_MEASURES: Final[Mapping[str, Measure]] = types.MappingProxyType(
    {
        'price': lambda source: OverheadMeasure(source).run(),
        'wait': lambda source: WaitMeasure(source).run(),
        'reads': lambda source: ReadMeasure(source).run(),
        'crest': lambda source: PeakLoadMeasure(source).run(),
    },
)
PROXIED_MEASURES: Final[Mapping[str, Measure]] = types.MappingProxyType(
    {'faults': lambda source: FaultMeasure(source).run()},
)


@final
@attrs.frozen
class Trial:
    """One start of a deployment and the measures to run on it.

    Attributes
    ----------
    policy
        Key of ``POLICIES``.
    measures
        Names of the measures, in the order in which they run.
    is_proxied
        Whether all links pass through the fault proxy.
    """

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
    """Yield the trials of all seeds.

    The order of the policies is reversed with every other seed, so that a
    machine that slows down over time does not favour one policy.
    """
    for number, seed in enumerate(seeds):
        policies = list(POLICIES)
        if number % 2:
            policies.reverse()
        for available, is_proxied in (
            (UNPROXIED_MEASURES, False),
            (PROXIED_MEASURES, True),
        ):
            selected = tuple(name for name in names if name in available)
            for policy in policies:
                if selected:
                    yield Trial(deployment, policy, seed, selected, is_proxied)


async def run_trial(trial: Trial, commit: str) -> list[Sample]:
    """Run a trial and return a sample for each value that it measured.

    A failed trial is repeated from its start, because another process may
    have taken a port that was free when the deployment was planned.

    Raises
    ------
    RuntimeError, OSError, aiohttp.ClientError
        The last attempt failed as well.
    """
    attempts_left_count = _ATTEMPT_COUNT
    while True:
        attempts_left_count -= 1
        try:
            return await _attempt_trial(trial, commit)
        except _RETRIED_ERRORS as error:
            if not attempts_left_count:
                raise
            sys.stdout.write(
                f'trial failed: {str(error)[-_ERROR_TAIL_LENGTH:]}\n'
            )


def current_commit() -> str:
    """Return the short id of the commit that is checked out."""
    command = ('git', 'rev-parse', '--short', 'HEAD')
    return subprocess.check_output(command, text=True).strip()


async def _attempt_trial(trial: Trial, commit: str) -> list[Sample]:
    spec = attrs.evolve(
        SPECS[trial.deployment],
        routing_policy=POLICIES[trial.policy],
    )
    measured_values: dict[str, float] = {}
    deployment = Deployment(spec, is_proxied=trial.is_proxied)
    async with deployment, CallerClient() as client:
        source = LoadSource(
            deployment,
            client,
            RequestFactory(spec.service),
            random.Random(trial.seed),
        )
        for name in trial.measures:
            measured_values.update(await _run_measure(name, source))
    return [
        Sample(
            trial.deployment,
            trial.policy,
            measure,
            float(value),
            trial.seed,
            commit,
        )
        for measure, value in measured_values.items()
    ]


async def _run_measure(name: str, source: LoadSource) -> dict[str, float]:
    measure = {**UNPROXIED_MEASURES, **PROXIED_MEASURES}[name]
    started_s = time.monotonic()
    measured_values = await measure(source)
    spec = source.deployment.spec
    sys.stdout.write(
        f'{spec.service} {spec.routing_policy} {name}'
        f' in {time.monotonic() - started_s:.1f} s\n',
    )
    for measure_name, value in measured_values.items():
        sys.stdout.write(f'    {measure_name} {value:.4g}\n')
    sys.stdout.flush()
    return measured_values
