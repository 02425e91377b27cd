"""Faults of processes: killed, stopped or paused."""

import asyncio
import pathlib
import time
from typing import Final, final

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.history import History
from loadtool.history_events import HostStopped
from standins.child_process import ChildProcess

# The drain may wait for open interactive transactions for 30 s.
_STOP_TIMEOUT_S: Final = 35
_STOPPED_STATE: Final = 'T'


@final
class ProofProcesses:
    """Hits hosts and members of a deployment."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        """Record graceful stops in ``history``."""
        self._deployment = deployment
        self._history = history
        self._killed: set[str] = set()

    async def pause(self, name: str, hold_s: float) -> bool:
        """Pause a process; tells whether it was seen stopped."""
        child = self._deployment.processes.children[name]
        child.pause()
        try:
            # On a loaded machine the signal takes its time.
            await asyncio.sleep(hold_s)
            has_taken = _is_stopped(child)
        finally:
            child.resume()
        return has_taken

    async def kill_host(self, host: DeployedHost, hold_s: float) -> bool:
        """Kill a host and start it again."""
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
        is_alone: bool,
    ) -> bool:
        """Ask a host to end, and start it again.

        Requests in flight are only checked when nothing else can break them.
        """
        child = self._deployment.processes.children[host.name]
        asked_s = time.monotonic()
        code = await child.stop(_STOP_TIMEOUT_S)
        if code == 0 and is_alone:
            stopped = HostStopped(host.name, asked_s, time.monotonic())
            self._history.add(stopped)
        await asyncio.sleep(hold_s)
        await self._deployment.start_host(host)
        return code == 0

    async def kill_member(self, name: str) -> bool:
        """Kill a member for good."""
        child = self._deployment.processes.children[name]
        self._killed.add(name)
        await child.kill()
        return child.exit_code is not None

    def is_running(self, name: str) -> bool:
        """Tell whether a process has not ended."""
        return self._deployment.processes.children[name].exit_code is None

    def fallen(self) -> list[str]:
        """Return the processes that ended without being killed."""
        return [
            name
            for name in self._deployment.processes.children
            if not self.is_running(name) and name not in self._killed
        ]

    def resume_all(self) -> None:
        """Let all paused processes run."""
        for child in self._deployment.processes.children.values():
            child.resume()


def _is_stopped(child: ChildProcess) -> bool:
    if child.exit_code is not None:
        return False
    stat = pathlib.Path(f'/proc/{child.process_id}/stat').read_text('utf-8')
    return stat.rsplit(')', maxsplit=1)[1].split()[0] == _STOPPED_STATE
