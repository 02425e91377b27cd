"""Simulates operators who send requests concurrently."""

import asyncio
import random
import time
from typing import Any, Final, final

import aiohttp
import attrs

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history import History
from loadtool.history_events import TargetLeft
from loadtool.history_limits import DOCUMENT_PROPAGATION_LIMIT_S
from loadtool.deployment_observer import DeploymentObserver
from loadtool.violation import Rule, Violation
from mimosapond.document_body import document_body
from mimosapond.group_spec import GroupSpec
from mimosapond.workspace_spec import WorkspaceSpec

_REQUEST_TIMEOUT_S: Final = 5
_POLL_INTERVAL_S: Final = 0.1
_COMPLETED: Final = 'completed'
_NO_ANSWER: Final = 'silent'
_MIN_LIMIT_COUNT: Final = 3
_MAX_LIMIT_COUNT: Final = 9


@final
class OperatorSimulator:
    """Sends operator requests to hosts and checks their effects.

    Attributes
    ----------
    violations
        Rules that the answers or effects broke.
    """

    def __init__(
        self,
        deployment: Deployment,
        observer: DeploymentObserver,
        history: History,
        randomness: random.Random,
    ) -> None:
        """Send requests to the hosts of a running deployment."""
        self._deployment = deployment
        self._observer = observer
        self._history = history
        self._random = randomness
        self.violations: list[Violation] = []

    async def promote(self, group: GroupSpec, member: str) -> str:
        """Send a promotion to hosts in random order until one answers.

        Returns
        -------
        str
            Outcome or refusal reason; ``silent`` if no host answered.
        """
        path = f'/v1/groups/{group.name}/promote'
        hosts = list(self._deployment.hosts)
        self._random.shuffle(hosts)
        outcome = _NO_ANSWER
        while hosts and outcome == _NO_ANSWER:
            body = {'member': member}
            outcome = _outcome(
                await self._call(hosts.pop(), 'POST', path, body)
            )
        return outcome

    async def race_edits(
        self,
        hosts: tuple[DeployedHost, ...],
        *,
        is_only_fault: bool,
    ) -> str:
        """Edit the same revision of the document at several hosts at once.

        If ``is_only_fault`` is set, the accepted revision must be in force at
        all hosts in time.

        Returns
        -------
        str
            Outcomes or refusal reasons of the hosts, separated by spaces.
        """
        service = self._deployment.spec.service
        known = [await self._observer.revisions(host) for host in hosts]
        revision = max(one.get(service, 0) for one in known)
        answers = await asyncio.gather(
            *(self._edit(host, revision) for host in hosts),
        )
        outcomes = [_outcome(answer) for answer in answers]
        if outcomes.count(_COMPLETED) > 1:
            self._report(Rule.TWO_WINNERS, f'revision {revision}: {answers}')
        if is_only_fault and _COMPLETED in outcomes:
            await self._check_revision_in_force(revision + 1)
        return ' '.join(outcomes)

    async def drain(self, member: str, hold_s: float) -> str:
        """Mark a target as leaving for ``hold_s`` and return the outcome."""
        host = self._random.choice(self._deployment.hosts)
        path = f'/v1/targets/{member}'
        answer = await self._call(host, 'POST', f'{path}/drain', {})
        begin_s = time.monotonic()
        await asyncio.sleep(hold_s)
        end_s = time.monotonic()
        await self._call(host, 'POST', f'{path}/undrain', {})
        if _outcome(answer) == _COMPLETED:
            self._history.add(TargetLeft(member, begin_s, end_s))
        return _outcome(answer)

    async def _edit(self, host: DeployedHost, revision: int) -> Any:
        document = self._deployment.document
        limit_count = self._random.randint(_MIN_LIMIT_COUNT, _MAX_LIMIT_COUNT)
        edited = attrs.evolve(
            document,
            workspaces=tuple(
                WorkspaceSpec(one.name, one.group, limit_count)
                for one in document.workspaces
            ),
        )
        body = {
            'expected_revision': revision,
            'document': document_body(edited),
        }
        path = f'/v1/documents/{document.service}'
        return await self._call(host, 'PUT', path, body)

    async def _check_revision_in_force(self, revision: int) -> None:
        accepted_s = time.monotonic()
        late = list(self._deployment.hosts)
        while late:
            if time.monotonic() - accepted_s > DOCUMENT_PROPAGATION_LIMIT_S:
                names = [host.name for host in late]
                subject = f'revision {revision} at {names}'
                self._report(Rule.LATE_DOCUMENT, subject)
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
            late = [
                host for host in late if await self._is_behind(host, revision)
            ]

    async def _is_behind(self, host: DeployedHost, revision: int) -> bool:
        known = await self._observer.revisions(host)
        return known.get(self._deployment.spec.service, 0) < revision

    async def _call(
        self,
        host: DeployedHost,
        method: str,
        path: str,
        body: Any,
    ) -> Any:
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                return await self._deployment.operate(host, method, path, body)
        except (aiohttp.ClientError, TimeoutError) as error:
            return {'outcome': _NO_ANSWER, 'message': repr(error)}

    def _report(self, rule: Rule, subject: str) -> None:
        self.violations.append(Violation(rule, subject))


def _outcome(answer: Any) -> str:
    return str(answer.get('reason') or answer['outcome'])
