"""Steps of workspace_connections.feature."""

import asyncio
import itertools
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, Final

from behave import given, then, when

from features.virtual_loop import VirtualLoop
from features.workspace_connection_builders import (
    CountingMember,
    build_pool,
    use,
)
from features.workspace_properties import (
    check_limit,
    check_owners,
    check_progress,
)
from mimosapond.groups.connection_pool import ConnectionPool

_BORROWERS: Final = MappingProxyType({'no workspace': '', 'the product': None})
_PAUSE_S: Final = 0.1
_USE_S: Final = 0.03
_MAX_DIAL_COUNT: Final = 4


def _run(context: Any, work: Any) -> Any:
    return context.loop.run_until_complete(work)


async def _build_pool(member: CountingMember, count: int) -> ConnectionPool:
    return build_pool(member, count)


async def _use_together(
    pool: ConnectionPool, workspaces: Iterable[str | None]
) -> list[str | None]:
    return await asyncio.gather(
        *(use(pool, workspace, _USE_S) for workspace in workspaces)
    )


def _build(context: Any, member: CountingMember, count: int) -> None:
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.member = member
    context.pool = _run(context, _build_pool(member, count))


def _use_in_turn(context: Any, names: list[str]) -> None:
    for name in names:
        _run(context, use(context.pool, name, _USE_S))
        _run(context, asyncio.sleep(_PAUSE_S))


def _workspace_of(text: str) -> str | None:
    return _BORROWERS.get(text, text.removeprefix('workspace '))


@then('any borrowers of any workspaces get connections of their own')
def check_all_owners(context: Any) -> None:
    """Check generated borrowers."""
    check_owners()


@then('the member never counts more connections than the pool may have')
def check_all_limits(context: Any) -> None:
    """Check generated borrowers."""
    check_limit()


@then('each borrower gets a connection in the end')
def check_all_progress(context: Any) -> None:
    """Check generated borrowers."""
    check_progress()


@given('a pool of {count:d} connections with an idle one of workspace alpha')
def build_idle(context: Any, count: int) -> None:
    """Use a connection once."""
    _build(context, CountingMember(), count)
    _use_in_turn(context, ['alpha'])


@given('a pool of {count:d} connections, used by {names} in turn')
def build_used(context: Any, count: int, names: str) -> None:
    """Use connections one after another."""
    _build(context, CountingMember(), count)
    _use_in_turn(context, names.split(', '))


@when('a connection is borrowed for {borrower}')
def borrow(context: Any, borrower: str) -> None:
    """Borrow and release."""
    workspace = _workspace_of(borrower)
    context.found = _run(context, use(context.pool, workspace, _USE_S))


@when('the product borrows each connection at once')
def borrow_all(context: Any) -> None:
    """Borrow all idle connections at one time."""
    borrowers = tuple(itertools.repeat(None, context.pool.idle_count))
    _run(context, _use_together(context.pool, borrowers))
    _run(context, asyncio.sleep(_PAUSE_S))


@then('it is one of {owner}, and the member opened {count:d}')
def check_found(context: Any, owner: str, count: int) -> None:
    """Compare the owner and the number of attempts."""
    assert context.found == _workspace_of(owner), context.found
    assert len(context.member.attempts) == count, context.member.attempts


@then('the idle connections are those of {names}')
def check_idle(context: Any, names: str) -> None:
    """Find a connection for each name without a new one."""
    count = len(context.member.attempts)
    assert context.pool.idle_count == len(names.split(', '))
    _use_in_turn(context, names.split(', '))
    assert len(context.member.attempts) == count, context.member.attempts


@given('a member that accepts no connection for {seconds:d} s')
def build_full(context: Any, seconds: int) -> None:
    """Let the member count connections of a former process."""
    member = CountingMember(limit_count=0)
    _build(context, member, 8)
    context.loop.call_later(seconds, setattr, member, 'limit_count', 60)


@when('{count:d} borrowers of {names:d} workspaces wait for a connection')
def wait_together(context: Any, count: int, names: int) -> None:
    """Have all of them arrive at once."""
    workspaces = [f'workspace-{number % names}' for number in range(count)]
    context.found = _run(context, _use_together(context.pool, workspaces))


@then('at most {count:d} attempts were refused, one at a time after the first')
def check_refused(context: Any, count: int) -> None:
    """Count the refused attempts; the first ones begin together."""
    refused = [
        under_way_count
        for _, is_accepted, under_way_count in context.member.attempts
        if not is_accepted
    ]
    assert len(refused) <= count, refused
    assert set(refused[_MAX_DIAL_COUNT:]) == {1}, refused


@then(
    'the attempts after the first success are 1, 2 and then at most 4 at once'
)
def check_ramp(context: Any) -> None:
    """Compare the numbers of attempts under way."""
    accepted = [
        under_way_count
        for _, is_accepted, under_way_count in context.member.attempts
        if is_accepted
    ]
    most = list(itertools.accumulate(accepted, max))
    assert most[:3] == [1, 1, 2], accepted
    assert max(most) <= _MAX_DIAL_COUNT, accepted


@then('all borrowers got a connection')
def check_served(context: Any) -> None:
    """Check that nobody was refused."""
    assert None not in context.found, context.found
