"""Source of requests for a measurement of a started deployment."""

import random
from collections.abc import Mapping
from typing import final

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.request_factory import RequestFactory
from loadtool.slot_use import BUSY_COUNTER
from mimosapond.access_mode import AccessMode
from mimosapond.member_address import MemberAddress
from mimosapond.outcome import Outcome
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest


@final
@attrs.frozen
class LoadSource:
    """Builds requests and sends them to random hosts, like a load balancer."""

    deployment: Deployment
    client: CallerClient
    requests: RequestFactory
    randomness: random.Random

    def random_host(self) -> DeployedHost:
        """Return a host chosen at random."""
        return self.randomness.choice(self.deployment.hosts)

    async def send(self, request: StatementRequest) -> Outcome:
        """Run a request at a host chosen at random."""
        return await self.client.run(self.random_host().caller_address, request)

    def read_of_cost(
        self,
        workspace: str,
        cost_ms: int,
        **fields: object,
    ) -> StatementRequest:
        """Build a read that occupies a slot of a member for ``cost_ms``."""
        statement = Statement(
            f'SELECT count(*) FROM orders /* cost_ms={cost_ms} */',
        )
        return self.requests.build(
            workspace, AccessMode.READ, statement, **fields
        )

    async def replicas(self, group_index: int) -> tuple[MemberAddress, ...]:
        """Return the members of a group other than its primary."""
        group = self.deployment.groups[group_index]
        primary = await self.deployment.primary(group.name)
        return tuple(one for one in group.members if one.name != primary)

    async def busy_ms(
        self, members: tuple[MemberAddress, ...]
    ) -> Mapping[str, float]:
        """Return the accumulated busy time of slots by member name."""
        counters: dict[str, float] = {}
        for member in members:
            log = await self.deployment.member_log(member.name)
            counters[member.name] = log['counters'][BUSY_COUNTER]
        return counters
