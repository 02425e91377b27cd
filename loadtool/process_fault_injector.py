"""Injects process faults: kills, graceful shutdowns and pauses."""

import asyncio
import pathlib
import time
from typing import Final, final

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history import History
from loadtool.history_events import HostStopped
from standins.child_process import ChildProcess

# Draining a host may wait 30 s for open interactive transactions.
_STOP_TIMEOUT_S: Final = 35
_PAUSED_STATE: Final = 'T'


@final
class ProcessFaultInjector:
    """Kills, stops and pauses hosts and members of a deployment."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        """Record graceful shutdowns in ``history``."""
        self._deployment = deployment
        self._history = history
        self._killed: set[str] = set()

    async def pause(self, name: str, hold_s: float) -> bool:
        """Pause a process for ``hold_s``.

        Returns
        -------
        bool
            Whether the process was observed to be paused.
        """
        child = self._deployment.processes.children[name]
        child.pause()
        try:
            # The signal may take effect late on a loaded machine.
            await asyncio.sleep(hold_s)
            has_taken = _is_paused(child)
        finally:
            child.resume()
        return has_taken

    async def kill_host(self, host: DeployedHost, hold_s: float) -> bool:
        """Kill a host and restart it after ``hold_s``.

        Returns
        -------
        bool
            Whether a signal ended the process.
        """
        child = self._deployment.processes.children[host.name]
        await child.kill()
        await asyncio.sleep(hold_s)
        await self._deployment.start_host(host)
        return child.exit_code is not None and child.exit_code < 0

    async def stop_host(
        self,
        host: DeployedHost,
        hold_s: float,
        *,
        is_only_fault: bool,
    ) -> bool:
        """Shut a host down gracefully and restart it after ``hold_s``.

        The shutdown is recorded, and its effect on requests in flight checked,
        only if no other fault can interrupt them.

        Returns
        -------
        bool
            Whether the process exited with code 0.
        """
        child = self._deployment.processes.children[host.name]
        asked_s = time.monotonic()
        exit_code = await child.stop(_STOP_TIMEOUT_S)
        if exit_code == 0 and is_only_fault:
            stopped = HostStopped(host.name, asked_s, time.monotonic())
            self._history.add(stopped)
        await asyncio.sleep(hold_s)
        await self._deployment.start_host(host)
        return exit_code == 0

    async def kill_member(self, name: str) -> bool:
        """Kill a member without restarting it; tell whether it ended."""
        child = self._deployment.processes.children[name]
        self._killed.add(name)
        await child.kill()
        return child.exit_code is not None

    def is_running(self, name: str) -> bool:
        """Tell whether the process ``name`` has not ended."""
        return self._deployment.processes.children[name].exit_code is None

    def unexpected_exits(self) -> list[str]:
        """Return the processes that ended unexpectedly."""
        return [
            name
            for name in self._deployment.processes.children
            if not self.is_running(name) and name not in self._killed
        ]

    def resume_all(self) -> None:
        """Resume all paused processes."""
        for child in self._deployment.processes.children.values():
            child.resume()


def _is_paused(child: ChildProcess) -> bool:
    if child.exit_code is not None:
        return False
    stat = pathlib.Path(f'/proc/{child.process_id}/stat').read_text('utf-8')
    return stat.rsplit(')', maxsplit=1)[1].split()[0] == _PAUSED_STATE
