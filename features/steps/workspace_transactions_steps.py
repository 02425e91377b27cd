"""Steps about the connections that open transactions hold."""

import asyncio
from typing import Any, Final

import attrs
from behave import given, then, when

from features.group_builders import GroupWorld, build_world
from features.ownership_builders import build_work
from features.virtual_loop import VirtualLoop
from features.workspace_connection_builders import (
    CountingMember,
    build_pool,
    use,
)
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.routing.statement_runner import RestoreFailed, run_work
from mimosapond.statements.statement import Begin, DirectStatement

_WAIT_S: Final = 60.0
_PAUSE_S: Final = 1.0
_USE_S: Final = 0.01
# Time for a new connection, and for the reuse of the one that it replaces.
_AT_ONCE_S: Final = 0.05


class _Transactions:
    """Transactions that stay open until they are told to end."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.open_count = 0
        self.begun_count = 0
        self.end = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def begin(self, workspaces: list[str], count: int) -> None:
        """Begin them all at once, and wait for a while."""
        self.tasks = [
            asyncio.create_task(self._hold(workspace))
            for workspace in workspaces
            for _ in range(count)
        ]
        await asyncio.sleep(_PAUSE_S)

    async def end_all(self) -> None:
        """End the open ones, and the others as soon as they have begun."""
        self.end.set()
        await asyncio.gather(*self.tasks)

    async def _hold(self, workspace: str) -> None:
        lease = await self.pool.borrow(
            1, _WAIT_S, {}, workspace, is_transaction=True
        )
        assert isinstance(lease, ConnectionLease), lease
        self.open_count += 1
        self.begun_count += 1
        await self.end.wait()
        self.open_count -= 1
        lease.release()


async def _build(limit_count: int) -> _Transactions:
    return _Transactions(build_pool(CountingMember(), limit_count))


def _names(text: str) -> list[str]:
    return [''] if text.startswith('callers') else text.split(', ')


@given('a pool of {limit:d} connections')
def build_transactions(context: Any, limit: int) -> None:
    """Build a pool in a virtual loop."""
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.transactions = context.loop.run_until_complete(_build(limit))


@when('{count:d} transactions of each of {names} begin and stay idle')
@when('{count:d} transactions of {names} begin and stay idle')
def begin_transactions(context: Any, count: int, names: str) -> None:
    """Begin transactions together."""
    begin = context.transactions.begin(_names(names), count)
    context.loop.run_until_complete(begin)


@then('{count:d} of them are open')
def check_open(context: Any, count: int) -> None:
    """Count those that got a connection."""
    transactions = context.transactions
    assert transactions.open_count == count, transactions.open_count


@then('a statement of each of {names} and of {other} is served at once')
def check_statements(context: Any, names: str, other: str) -> None:
    """Run one statement after another."""
    for name in (*_names(names), other):
        work = use(context.transactions.pool, name, _USE_S, 1, _AT_ONCE_S)
        found = context.loop.run_until_complete(work)
        assert found == name, (found, name)


@when('the transactions end')
def end_transactions(context: Any) -> None:
    """End them all."""
    context.loop.run_until_complete(context.transactions.end_all())


@then('all of them have been open')
def check_begun(context: Any) -> None:
    """Check that the waiting ones have begun as well."""
    transactions = context.transactions
    assert transactions.begun_count == len(transactions.tasks)


@given('a transaction of {owner} at member p')
def prepare_transaction(context: Any, owner: str) -> None:
    """Keep the workspace that begins the transaction."""
    context.world = build_world()
    context.owner = owner.replace('no workspace', '')


@when('a statement of {sender} is to run in it')
def run_foreign(context: Any, sender: str) -> None:
    """Begin the transaction and send the statement."""
    workspace = sender.replace('no workspace', '')
    context.statements = asyncio.run(
        _run_in_transaction(context.world, context.owner, workspace)
    )


async def _run_in_transaction(
    world: GroupWorld, owner: str, sender: str
) -> list[str]:
    pool = world.group.members['p'].pool
    lease = await pool.borrow(1, _WAIT_S, {}, owner, is_transaction=True)
    assert isinstance(lease, ConnectionLease), lease
    await lease.ask(lease.link.begin(Begin(False), None, _WAIT_S))
    statement = DirectStatement('READ x', is_write=False)
    work = build_work('r1', world.group, statement)
    try:
        await run_work(
            lease, attrs.evolve(work, workspace=sender), None, _WAIT_S
        )
    except RestoreFailed as error:
        assert not error.answer.was_sent, error
        assert not lease.link.is_open
    return list(world.fakes['p'].executed_statements)


@then('the transaction ran {statements}')
def check_run(context: Any, statements: str) -> None:
    """Compare the statements of callers."""
    expected = [] if statements == 'nothing' else [statements]
    assert context.statements == ['BEGIN', *expected], context.statements
