"""Operators who act at the same time."""

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
from loadtool.history_settings import DOCUMENT_LIMIT_S
from loadtool.proof_observer import ProofObserver
from loadtool.violation import Rule, Violation
from mimosapond.document_body import document_body
from mimosapond.group_spec import GroupSpec
from mimosapond.workspace_spec import WorkspaceSpec

_TIMEOUT_S: Final = 5
_POLL_S: Final = 0.1
_COMPLETED: Final = 'completed'
_SILENT: Final = 'silent'
_FIRST_LIMIT: Final = 3
_LAST_LIMIT: Final = 9


@final
class ProofOperators:
    """Makes operators' calls at chosen hosts."""

    def __init__(
        self,
        deployment: Deployment,
        observer: ProofObserver,
        history: History,
        randomness: random.Random,
    ) -> None:
        """Act on a started deployment."""
        self._deployment = deployment
        self._observer = observer
        self._history = history
        self._random = randomness
        self.violations: list[Violation] = []

    async def promote(self, group: GroupSpec, member: str) -> str:
        """Ask hosts until one answers; returns the outcome."""
        path = f'/v1/groups/{group.name}/promote'
        hosts = list(self._deployment.hosts)
        self._random.shuffle(hosts)
        word = _SILENT
        while hosts and word == _SILENT:
            body = {'member': member}
            word = _word(await self._call(hosts.pop(), 'POST', path, body))
        return word

    async def race_edits(
        self,
        hosts: tuple[DeployedHost, ...],
        *,
        is_alone: bool,
    ) -> str:
        """Edit the document at two hosts at once; returns both outcomes."""
        service = self._deployment.spec.service
        known = [await self._observer.revisions(host) for host in hosts]
        revision = max(one.get(service, 0) for one in known)
        answers = await asyncio.gather(
            *(self._edit(host, revision) for host in hosts),
        )
        words = [_word(answer) for answer in answers]
        if words.count(_COMPLETED) > 1:
            self._report(Rule.TWO_WINNERS, f'revision {revision}: {answers}')
        if is_alone and _COMPLETED in words:
            await self._await_revision(revision + 1)
        return ' '.join(words)

    async def drain(self, member: str, hold_s: float) -> str:
        """Mark a target as leaving for some time."""
        host = self._random.choice(self._deployment.hosts)
        path = f'/v1/targets/{member}'
        answer = await self._call(host, 'POST', f'{path}/drain', {})
        begin_s = time.monotonic()
        await asyncio.sleep(hold_s)
        end_s = time.monotonic()
        await self._call(host, 'POST', f'{path}/undrain', {})
        if _word(answer) == _COMPLETED:
            self._history.add(TargetLeft(member, begin_s, end_s))
        return _word(answer)

    async def _edit(self, host: DeployedHost, revision: int) -> Any:
        document = self._deployment.document
        limit_count = self._random.randint(_FIRST_LIMIT, _LAST_LIMIT)
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

    async def _await_revision(self, revision: int) -> None:
        accepted_s = time.monotonic()
        late = list(self._deployment.hosts)
        while late:
            if time.monotonic() - accepted_s > DOCUMENT_LIMIT_S:
                names = [host.name for host in late]
                subject = f'revision {revision} at {names}'
                self._report(Rule.LATE_DOCUMENT, subject)
                return
            await asyncio.sleep(_POLL_S)
            late = [host for host in late if await self._lacks(host, revision)]

    async def _lacks(self, host: DeployedHost, revision: int) -> bool:
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
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._deployment.operate(host, method, path, body)
        except (aiohttp.ClientError, TimeoutError) as error:
            return {'outcome': _SILENT, 'message': repr(error)}

    def _report(self, rule: Rule, subject: str) -> None:
        self.violations.append(Violation(rule, subject))


def _word(answer: Any) -> str:
    return str(answer.get('reason') or answer['outcome'])
