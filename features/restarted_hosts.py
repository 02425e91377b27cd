"""Restart of the hosts of a live deployment with changed settings."""

from collections.abc import Mapping
from typing import Any

import yaml

from features.live_deployment import LiveDeployment


async def restart_hosts(
    live: LiveDeployment,
    settings: Mapping[str, Any],
) -> None:
    """Kill all hosts and start them with ``settings`` in their files.

    Parameters
    ----------
    settings
        Settings that are added to those in the file of each host.
    """
    deployment = live.deployment
    for host in deployment.hosts:
        await deployment.processes.children[host.name].kill()
    for stopped in deployment.hosts:
        path = deployment.processes.folder / f'{stopped.name}.yaml'
        earlier = yaml.safe_load(path.read_text(encoding='utf-8'))
        path.write_text(yaml.safe_dump({**earlier, **settings}), 'utf-8')
        await deployment.start_host(stopped)
    await deployment.wait_serving()
