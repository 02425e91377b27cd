"""Runs one seed of a proof run in its own deployment."""

import json
import pathlib
from typing import Final

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployment import Deployment
from loadtool.deployment_spec import DeploymentSpec
from loadtool.proof_fault import FaultKind
from loadtool.proof_result import ProofResult
from loadtool.workload_statements import WORKLOAD_SCHEMA
from loadtool.proof_trial import ProofTrial

# A caller with a short timeout can't tell a slow host on a loaded machine from
# one that dropped the request: with 0.3 s, seed 61 reported an interruption.
_ANSWER_MARGIN_S: Final = 5


async def run_trial(
    spec: DeploymentSpec,
    seed: int,
    duration_s: float,
    kinds: tuple[FaultKind, ...] = (),
    folder: pathlib.Path | None = None,
) -> ProofResult:
    """Start a deployment behind the fault proxy and run one seed.

    Parameters
    ----------
    spec
        Deployment to start; its schema is replaced.
    seed
        Determines the faults and requests.
    duration_s
        Time of load and faults.
    kinds
        Faults to inject in turn; empty for the seeded schedule.
    folder
        Folder for the logs of the processes, the history and the database
        logs; none are kept without it.
    """
    deployment = Deployment(
        attrs.evolve(spec, schema=WORKLOAD_SCHEMA),
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
