"""Polls members and hosts directly, without the fault proxy."""

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

_POLL_INTERVAL_S: Final = 0.1
_MEMBER_TIMEOUT_S: Final = 0.3
_HOST_TIMEOUT_S: Final = 0.5


@final
class DeploymentObserver:
    """Records the terms and revisions that members and hosts report.

    Attributes
    ----------
    standings
        Last standing of each member, by name.
    """

    def __init__(self, deployment: Deployment, history: History) -> None:
        """Observe ``deployment`` and record observations in ``history``."""
        self._deployment = deployment
        self._history = history
        self._target = WebsocketTarget(_MEMBER_TIMEOUT_S, AddressTranslator())
        self._terms: dict[str, int] = {}
        self.standings: dict[str, Standing] = {}

    async def run(self) -> None:
        """Poll all members and hosts until cancelled."""
        try:
            while True:
                await asyncio.gather(
                    *map(self.observe_group, self._deployment.groups),
                    *map(self.observe_host, self._deployment.hosts),
                    asyncio.sleep(_POLL_INTERVAL_S),
                )
        finally:
            self._target.close()

    @property
    def newest_terms(self) -> Mapping[str, int]:
        """Highest term that a majority has adopted, by group."""
        return self._terms

    def primary(self, group: GroupSpec) -> str:
        """Return the name of the primary with the highest term seen."""
        return self._latest_primary(group).member

    def holder(self, group: GroupSpec) -> str:
        """Return the name of the host that holds the primary's term."""
        return str(self._latest_primary(group).granted_to).split(
            '.', maxsplit=1
        )[0]

    async def observe_group(self, group: GroupSpec) -> None:
        """Record the highest term that a majority has adopted."""
        answers = await asyncio.gather(
            *(
                self._target.status(member, _MEMBER_TIMEOUT_S, fresh=True)
                for member in group.members
            ),
        )
        seen = [
            standing for standing in answers if isinstance(standing, Standing)
        ]
        self.standings.update({standing.member: standing for standing in seen})
        terms = sorted((standing.term for standing in seen), reverse=True)
        if len(terms) < group.majority_count:
            return
        term = terms[group.majority_count - 1]
        if term > self._terms.get(group.name, 0):
            self._terms[group.name] = term
            event = TermAdopted(group.name, term, time.monotonic())
            self._history.add(event)

    async def observe_host(self, host: DeployedHost) -> None:
        """Record the document revisions in force at a host."""
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
        """Return revisions by service; empty if the host doesn't answer."""
        try:
            async with asyncio.timeout(_HOST_TIMEOUT_S):
                status = await self._deployment.status(host)
        except (aiohttp.ClientError, TimeoutError):
            return {}
        return {
            each['service']: each['revision'] for each in status['documents']
        }

    def _latest_primary(self, group: GroupSpec) -> Standing:
        known = [
            standing
            for standing in self.standings.values()
            if standing.group == group.name
        ]
        return max(
            known, key=lambda standing: (standing.is_primary, standing.term)
        )
