"""A deployment of real processes for the steps of a feature."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar, final

import attrs

from loadtool.caller_client import CallerClient
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.deployment_spec import FORGE
from loadtool.request_factory import RequestFactory
from mimosapond.access_mode import AccessMode
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall
from mimosapond.work_class import WorkClass

DEADLINE_MS: Final = 8000
_POLL_S: Final = 0.05
_Answer = TypeVar('_Answer')


@final
class LiveWorld:
    """A deployment, a client and the event loop on which both run."""

    def __init__(self, host_count: int) -> None:
        """Start the deployment and wait until it serves requests."""
        spec = attrs.evolve(FORGE, host_count=host_count, group_count=1)
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment(spec)
        self.group = self.deployment.groups[0].name
        self.workspace = self.deployment.workspaces[0]
        self.requests = RequestFactory(spec.service)
        self.acknowledged: set[str] = set()
        self.client = self.run(self._start())

    @property
    def hosts(self) -> tuple[DeployedHost, ...]:
        """All hosts of the deployment."""
        return self.deployment.hosts

    def run(self, work: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run ``work`` and, until it ends, the background tasks."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """End all processes."""
        self.run(self._stop())
        self.loop.close()

    def primary(self) -> str:
        """Return the name of the group's primary."""
        return self.run(self.deployment.primary(self.group))

    def holder(self) -> DeployedHost:
        """Return the host that holds the group's term."""
        view = self.run(self.deployment.view(self.group))
        return next(
            host
            for host in self.hosts
            if view['holder'].startswith(f'{host.name}.')
        )

    def others(self, host: DeployedHost) -> list[DeployedHost]:
        """Return the hosts other than ``host``."""
        return [other for other in self.hosts if other != host]

    def insert(self, row_id: str, **fields: Any) -> StatementRequest:
        """Build a write that inserts one row."""
        return self.requests.insert(
            self.workspace, row_id, **_with_defaults(fields)
        )

    def begin(self, **fields: Any) -> StatementRequest:
        """Build the begin of an interactive transaction."""
        return self.requests.build(
            self.workspace,
            AccessMode.WRITE,
            **_with_defaults(fields),
        )

    def read(self, sql: str, **fields: Any) -> StatementRequest:
        """Build a read."""
        return self.requests.build(
            self.workspace,
            AccessMode.READ,
            Statement(sql),
            **_with_defaults(fields),
        )

    async def post(
        self,
        host: DeployedHost,
        request: StatementRequest,
    ) -> Outcome:
        """Send a request; remember its row if the write was acknowledged."""
        outcome = await self.client.run(host.caller_address, request)
        if isinstance(outcome, Completed) and request.mode is AccessMode.WRITE:
            self.acknowledged.add(str(request.statements[0].parameters[0]))
        return outcome

    async def transact(
        self,
        host: DeployedHost,
        transaction_id: str | None,
        operation: str,
        *rows: str,
        request_id: str,
        deadline_ms: int = DEADLINE_MS,
    ) -> Outcome:
        """Make a call within a transaction that inserts ``rows``."""
        call = TransactionCall(
            request_id=request_id,
            deadline_ms=deadline_ms,
            statements=tuple(
                statement for row in rows for statement in _insert(row)
            ),
        )
        return await self.client.transact(
            host.caller_address,
            str(transaction_id),
            operation,
            call,
        )

    def count(self, row_id: str) -> int:
        """Count the rows with an id in the primary's log."""
        log = self.run(self.deployment.member_log(self.primary()))
        return sum(
            parameters[:1] == [row_id]
            for parameters in _inserted(log['entries'])
        )

    def missing(self) -> set[str]:
        """Return acknowledged rows that are missing in the primary's log."""
        log = self.run(self.deployment.member_log(self.primary()))
        logged = {parameters[0] for parameters in _inserted(log['entries'])}
        return self.acknowledged - logged

    def wait_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Wait until ``holds`` returns true and return the seconds waited.

        Raises
        ------
        AssertionError
            ``holds`` was still false after ``limit_s``.
        """
        started_s = time.monotonic()
        while not holds():
            waited_s = time.monotonic() - started_s
            assert waited_s < limit_s, f'not fulfilled within {limit_s} s'
            self.run(asyncio.sleep(_POLL_S))
        return time.monotonic() - started_s

    async def _start(self) -> CallerClient:
        await self.deployment.__aenter__()
        return CallerClient()

    async def _stop(self) -> None:
        await self.client.close()
        await self.deployment.processes.close()


def live_world(context: Any, host_count: int) -> LiveWorld:
    """Start a deployment that is stopped at the end of the scenario."""
    world = LiveWorld(host_count)
    context.add_cleanup(world.close)
    context.live = world
    return world


def _with_defaults(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        'work_class': WorkClass.INTERACTIVE,
        'deadline_ms': DEADLINE_MS,
        **fields,
    }


def _insert(row_id: str) -> tuple[Statement, ...]:
    return (
        Statement(
            'INSERT INTO orders (id, note, tally) VALUES (?, ?, ?)',
            (row_id, 'posted', 1),
        ),
    )


def _inserted(entries: list[Any]) -> list[list[Any]]:
    """Return the parameters of all logged inserts into orders."""
    return [
        statement['parameters']
        for entry in entries
        for statement in entry['statements']
        if statement['sql'].startswith('INSERT INTO orders')
    ]
