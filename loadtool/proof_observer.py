"""Watches members and hosts directly, past the fault proxy."""

import asyncio
import time
from collections.abc import Mapping
from typing import Final, final

import aiohttp

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history import History
from loadtool.history_events import DocumentSeen, TermAdopted
from mimosapond.address_translator import AddressTranslator
from mimosapond.group_spec import GroupSpec
from mimosapond.standing import Standing
from mimosapond.websocket_target import WebsocketTarget

_PERIOD_S: Final = 0.1
_TIMEOUT_S: Final = 0.3
_STATUS_TIMEOUT_S: Final = 0.5


@final
class ProofObserver:
    """Keeps the newest standings and records what it saw."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        """Watch ``deployment``."""
        self._deployment = deployment
        self._history = history
        self._target = WebsocketTarget(_TIMEOUT_S, AddressTranslator())
        self._terms: dict[str, int] = {}
        self.standings: dict[str, Standing] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                await asyncio.gather(
                    *map(self.watch_group, self._deployment.groups),
                    *map(self.watch_host, self._deployment.hosts),
                    asyncio.sleep(_PERIOD_S),
                )
        finally:
            self._target.close()

    @property
    def term_counts(self) -> Mapping[str, int]:
        """Newest term of each group."""
        return self._terms

    def primary(self, group: GroupSpec) -> str:
        """Return the primary of the newest term seen."""
        return self._leader(group).member

    def holder(self, group: GroupSpec) -> str:
        """Return the name of the host that holds the newest term seen."""
        return str(self._leader(group).granted_to).split('.', maxsplit=1)[0]

    async def watch_group(self, group: GroupSpec) -> None:
        """Record the highest term that a majority has adopted."""
        answers = await asyncio.gather(
            *(
                self._target.status(member, _TIMEOUT_S, fresh=True)
                for member in group.members
            ),
        )
        seen = [one for one in answers if isinstance(one, Standing)]
        self.standings.update({one.member: one for one in seen})
        terms = sorted((one.term for one in seen), reverse=True)
        if len(terms) < group.majority_count:
            return
        term = terms[group.majority_count - 1]
        if term > self._terms.get(group.name, 0):
            self._terms[group.name] = term
            event = TermAdopted(group.name, term, time.monotonic())
            self._history.add(event)

    async def watch_host(self, host: DeployedHost) -> None:
        """Record the revisions in force at a host."""
        child = self._deployment.processes.children[host.name]
        revisions = await self.revisions(host)
        if self._deployment.processes.children[host.name] is not child:
            return
        for service, revision in revisions.items():
            self._history.add(
                DocumentSeen(
                    f'{host.name}/{child.process_id}',
                    service,
                    revision,
                    time.monotonic(),
                ),
            )

    async def revisions(self, host: DeployedHost) -> dict[str, int]:
        """Return revisions by service; nothing when the host is silent."""
        try:
            async with asyncio.timeout(_STATUS_TIMEOUT_S):
                status = await self._deployment.status(host)
        except (aiohttp.ClientError, TimeoutError):
            return {}
        return {one['service']: one['revision'] for one in status['documents']}

    def _leader(self, group: GroupSpec) -> Standing:
        known = [
            one for one in self.standings.values() if one.group == group.name
        ]
        return max(known, key=lambda one: (one.is_primary, one.term))
