"""Runs the deployment ``forge`` on loopback and shows how requests are routed.

``make demo`` starts 8 hosts in three data centres, three database groups and
the platform stand-in. It posts orders through all hosts, reads each back
through a host of another data centre, kills one primary in between and prints a
summary. The exit code is 0 only if every posted order was read back and none was lost.
"""

import asyncio
import itertools
import sys
import time
from typing import Final, final

from loadtool.caller_client import CallerClient
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE
from loadtool.request_factory import RequestFactory
from mimosapond.clock import MS_PER_S
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome
from mimosapond.work_class import WorkClass

_ORDER_COUNT: Final = 24
_KILL_BEFORE_ORDER: Final = 12
_DEADLINE_MS: Final = 8000


@final
class Demo:
    """Posts orders in sequence and reads each back through another host."""

    def __init__(self, deployment: Deployment, client: CallerClient) -> None:
        """Create a demo for a started deployment."""
        self._deployment = deployment
        self._client = client
        self._requests = RequestFactory(deployment.spec.service)
        self._failures: list[str] = []
        self._longest_write_s: float = 0

    async def run(self) -> int:
        """Post and read all orders; return the number of failed orders."""
        hosts = itertools.cycle(self._deployment.hosts)
        workspaces = itertools.cycle(self._deployment.workspaces)
        for number in range(_ORDER_COUNT):
            if number == _KILL_BEFORE_ORDER:
                await self._kill_primary()
            workspace = next(workspaces)
            await self._post_and_read(number, workspace, next(hosts))
        self._print(
            f'{_ORDER_COUNT} orders posted, {len(self._failures)} failures, '
            f'longest write {self._longest_write_s:.2f} s '
            '(the write after the kill waits for the new primary)',
        )
        return len(self._failures)

    async def _post_and_read(
        self,
        number: int,
        workspace: str,
        writer: DeployedHost,
    ) -> None:
        row_id = f'order-{number}'
        session_id = f'smith-{number}'
        started_s = time.monotonic()
        posted = await self._client.run(
            writer.caller_address,
            self._requests.insert(
                workspace,
                row_id,
                work_class=WorkClass.URGENT,
                session_id=session_id,
                deadline_ms=_DEADLINE_MS,
            ),
        )
        self._longest_write_s = max(
            self._longest_write_s,
            time.monotonic() - started_s,
        )
        self._show('post', row_id, writer, posted, started_s)
        reader = self._other_data_centre(writer)
        started_s = time.monotonic()
        found = await self._client.run(
            reader.caller_address,
            self._requests.count(
                workspace,
                row_id,
                session_id=session_id,
                deadline_ms=_DEADLINE_MS,
            ),
        )
        self._show('read', row_id, reader, found, started_s)
        self._check(row_id, posted, found)

    async def _kill_primary(self) -> None:
        group = self._deployment.groups[0].name
        primary = await self._deployment.primary(group)
        self._print(f'--- killing {primary}, the primary of {group}')
        await self._deployment.processes.children[primary].kill()

    def _other_data_centre(self, host: DeployedHost) -> DeployedHost:
        return next(
            other
            for other in self._deployment.hosts
            if other.data_centre != host.data_centre
        )

    def _check(self, row_id: str, posted: Outcome, found: Outcome) -> None:
        is_read = isinstance(found, Completed) and bool(
            found.results[0].rows[0][0],
        )
        if not isinstance(posted, Completed) or not is_read:
            self._failures.append(row_id)
            self._print(f'FAILED {row_id}: {posted} {found}')

    def _show(
        self,
        action: str,
        row_id: str,
        host: DeployedHost,
        outcome: Outcome,
        started_s: float,
    ) -> None:
        took_ms = (time.monotonic() - started_s) * MS_PER_S
        target = outcome.member if isinstance(outcome, Completed) else '-'
        self._print(
            f'{action} {row_id:<9} {host.name} ({host.data_centre}) -> '
            f'{target:<9} {outcome.outcome} in {took_ms:.0f} ms',
        )

    def _print(self, line: str) -> None:
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


async def run_demo() -> int:
    """Run the demo in a new deployment; return the number of failed orders."""
    started_s = time.monotonic()
    async with Deployment(FORGE) as deployment, CallerClient() as client:
        took_s = time.monotonic() - started_s
        sys.stdout.write(f'8 hosts and 9 members serve after {took_s:.1f} s\n')
        return await Demo(deployment, client).run()


if __name__ == '__main__':
    sys.exit(min(1, asyncio.run(run_demo())))
