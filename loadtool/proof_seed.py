"""Runs one seed of the proof in a deployment of its own."""

import json
import pathlib
from typing import Final

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployment import Deployment
from loadtool.deployment_spec import DeploymentSpec
from loadtool.proof_fault import FaultKind
from loadtool.proof_result import ProofResult
from loadtool.proof_statements import PROOF_SCHEMA
from loadtool.proof_trial import ProofTrial

# A caller that gives up early can't tell a slow host on a loaded machine from
# one that dropped the request (seed 61: 0.3 s reported as an interruption).
_ANSWER_MARGIN_S: Final = 5


async def run_trial(
    spec: DeploymentSpec,
    seed: int,
    duration_s: float,
    kinds: tuple[FaultKind, ...] = (),
    folder: pathlib.Path | None = None,
) -> ProofResult:
    """Start a proxied deployment of ``spec`` and run one seed."""
    deployment = Deployment(
        attrs.evolve(spec, schema=PROOF_SCHEMA),
        is_proxied=True,
        folder=folder,
    )
    client = CallerClient(answer_margin_s=_ANSWER_MARGIN_S)
    async with deployment, client:
        trial = ProofTrial(deployment, client, seed)
        result = await trial.run(duration_s, kinds)
        if folder is not None:
            trial.history.save(folder / f'history-{seed}.jsonl')
            (folder / f'logs-{seed}.json').write_text(
                json.dumps(trial.reports),
                encoding='utf-8',
            )
        return result
