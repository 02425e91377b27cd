"""A deployment of real processes, shared by the scenarios of a feature."""

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE
from loadtool.request_factory import RequestFactory

_Answer = TypeVar('_Answer')
_ATTRIBUTE: Final = 'live_deployment'


class LiveDeployment:
    """A deployment of one group with a client and an event loop of its own.

    Attributes
    ----------
    runner
        Runs the coroutines of the deployment in one event loop.
    workspace
        Name of a workspace of the group.
    group
        Name of the group.
    """

    def __init__(self, host_count: int, *, is_proxied: bool) -> None:
        """Start the processes of a deployment.

        Parameters
        ----------
        is_proxied
            Whether connections between the processes go through the fault proxy.
        """
        self.runner = asyncio.Runner()
        spec = attrs.evolve(FORGE, host_count=host_count, group_count=1)
        self.deployment = Deployment(spec, is_proxied=is_proxied)
        self.requests = RequestFactory(spec.service)
        self.workspace = self.deployment.workspaces[0]
        self.group = self.deployment.groups[0].name
        self._numbers = itertools.count()
        self.run(self.deployment.__aenter__())
        self.client: CallerClient = self.run(_create_client())

    def run(self, work: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run a coroutine to its end and return its result."""
        return self.runner.run(work)

    def host(self, index: int) -> DeployedHost:
        """Return a host by its index, starting at 0."""
        return self.deployment.hosts[index]

    def row_id(self) -> str:
        """Return a unique row id."""
        return f'row-{next(self._numbers)}'

    def close(self) -> None:
        """Close the client and stop all processes."""
        self.run(self.client.close())
        self.run(self.deployment.__aexit__())
        self.runner.close()


async def _create_client() -> CallerClient:
    return CallerClient()


def use_deployment(
    context: Any,
    host_count: int,
    *,
    is_proxied: bool = False,
) -> LiveDeployment:
    """Return the deployment of the feature, which the first call starts.

    Later calls ignore ``host_count`` and ``is_proxied``. The deployment is
    closed after the feature.
    """
    live: LiveDeployment | None = getattr(context.feature, _ATTRIBUTE, None)
    if live is None:
        live = LiveDeployment(host_count, is_proxied=is_proxied)
        setattr(context.feature, _ATTRIBUTE, live)
        context.add_cleanup(live.close, layer='feature')
    context.live = live
    return live
