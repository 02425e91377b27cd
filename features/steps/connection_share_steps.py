"""Steps of holders.feature about the shares of connections."""

import asyncio
import contextlib
from types import MappingProxyType
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.group_builders import GroupWorld
from features.group_fakes import SwitchedHolding
from features.holder_builders import HostView, build_peers, build_view
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.groups.connection_share import (
    ConnectionShare,
    HolderShare,
    StandInShare,
    connection_limit_count,
)
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_port import MemberConnection
from mimosapond.routing.relay_port import NoRelays

_GROUP: Final = 'orders'
_STEP_S: Final = 0.5
_OLD_S: Final = 60.0
# Smallest number of connections for each holder of which a fifth, the part
# that holders leave, is one connection.
_MIN_RATIO: Final = 5
_LIMIT_COUNT: Final = 8
_BORROW_S: Final = 1.0
_SHARES: Final = MappingProxyType(
    {
        '6 holders': HolderShare(6),
        '12 stand-ins': StandInShare(6, 0, 12),
        'all hosts, which hold': None,
    }
)


def _limit_count(view: HostView, connection_count: int, age_s: float) -> int:
    share = view.holders.share(_GROUP)
    return connection_limit_count(share, connection_count, age_s)


def _holds_alone(view: HostView, duration_s: float) -> bool:
    until_s = view.clock.now_s + duration_s
    while view.clock.now_s < until_s:
        for peer in view.peers.peers:
            view.peers.record_failure(peer)
        view.holders.candidates(_GROUP)
        view.clock.now_s += _STEP_S
    return view.holders.holds(_GROUP)


@when('no host reaches another for {seconds:d} s')
def isolate_all(context: Any, seconds: int) -> None:
    """Let each host find no candidate, and keep those that hold the group."""
    views = [build_view(host, context.hosts) for host in context.hosts]
    context.holding = [view for view in views if _holds_alone(view, seconds)]


@then('{count:d} hosts hold the group, and {stand_ins:d} of them as stand-ins')
def check_stand_ins(context: Any, count: int, stand_ins: int) -> None:
    """Count the hosts that hold the group."""
    shares = [view.holders.share(_GROUP) for view in context.holding]
    assert len(shares) == count, shares
    found = [share for share in shares if isinstance(share, StandInShare)]
    assert len(found) == stand_ins, shares


@then('their shares of {connections:d} connections add up to {total:d}')
def check_sum(context: Any, connections: int, total: int) -> None:
    """Add up the limits of their pools."""
    limits = [
        _limit_count(view, connections, _OLD_S) for view in context.holding
    ]
    assert sum(limits) == total, limits


@settings(derandomize=True, deadline=None, max_examples=40)
@for_all(st.integers(25, 60), st.integers(1, 5), st.integers(1, 100))
def _check_shares(host_count: int, centre_count: int, count: int) -> None:
    hosts = build_peers(host_count, centre_count)
    views = [build_view(host, hosts) for host in hosts]
    named = [
        view
        for view in views
        if isinstance(view.holders.share(_GROUP), HolderShare | StandInShare)
    ]
    limit_count = max(count, views[0].holders.holder_count(_GROUP))
    limits = [_limit_count(view, limit_count, _OLD_S) for view in named]
    assert sum(limits) <= limit_count, limits


@settings(derandomize=True, deadline=None)
@for_all(st.integers(1, 8), st.integers(1, 500))
def _check_restart(holder_count: int, more_count: int) -> None:
    count = holder_count * _MIN_RATIO + more_count
    share = HolderShare(holder_count)
    before = connection_limit_count(share, count, _OLD_S)
    after = connection_limit_count(share, count, 0)
    assert holder_count * (before + after) <= count, (before, after)


@then('the shares of holders and stand-ins of any system stay under the limit')
def check_shares(context: Any) -> None:
    """Check generated systems."""
    _check_shares()


@then('so do those of holders before and after a restart')
def check_restart(context: Any) -> None:
    """Check generated limits."""
    _check_restart()


@given('the host is one of {holders}')
def set_share(context: Any, holders: str) -> None:
    """Choose the part of the host in the connections."""
    context.connection_share = _SHARES[holders]


@when(
    '{count:d} connections to p are used at once and p is monitored for {s:f} s'
)
def monitor_idle(context: Any, count: int, s: float) -> None:
    """Use connections at one time, and then only monitor the member."""
    asyncio.run(
        _use_and_monitor(context.world, context.connection_share, count, s)
    )


async def _use_and_monitor(
    world: GroupWorld, share: ConnectionShare, count: int, duration_s: float
) -> None:
    pool = world.group.members['p'].pool
    pool.limit_count = _LIMIT_COUNT
    leases = [await pool.borrow(1, duration_s) for _ in range(count)]
    for lease in leases:
        lease.release()
    holding = SwitchedHolding()
    holding.is_held = True
    holding.connection_share = share
    monitor = PrimaryMonitor(
        world.group,
        world.probe,
        world.failover,
        NoRelays(),
        boot_time_s,
        holding,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            await monitor.run()


@then('{count:d} connections to {name} are open')
def check_open(context: Any, count: int, name: str) -> None:
    """Count them after the monitor ended."""
    pool = context.world.group.members[name].pool
    assert pool.open_count == count, pool.open_count


@given('it knows the primary, and has no connection yet')
def know_primary(context: Any) -> None:
    """Let the host learn of the primary without a search."""
    group = context.world.group
    group.confirm_primary(group.members['p'], boot_time_s(), LogPosition(1, 10))


@when('2 connections to p are used at once, and the first one can end a doubt')
def use_in_doubt(context: Any) -> None:
    """Raise a doubt that only the connection which was opened first can end."""
    context.lent = asyncio.run(_use_in_doubt(context.world))


async def _use_in_doubt(world: GroupWorld) -> list[MemberConnection]:
    """Return the connections in the order of their loans."""
    member = world.group.members['p']
    member.pool.limit_count = _LIMIT_COUNT
    member.load.identity.trust()
    first = await member.pool.borrow(1, _BORROW_S)
    await asyncio.sleep(_STEP_S / 10)
    # The first one waits for an answer, so that this one may lead elsewhere.
    second = await member.pool.borrow(1, _BORROW_S)
    lent = [first.link, second.link]
    first.release()
    second.release()
    for _ in range(2):
        lease = await member.pool.borrow(1, _BORROW_S)
        lent.append(lease.link)
        lease.release()
        member.pool.trim(1, -_STEP_S)
    return lent


@then('the first connection is lent before the second one')
def check_lent(context: Any) -> None:
    """Compare the connection of the third loan with that of the first."""
    first, second, third, _ = context.lent
    assert third is first
    assert third is not second


@then('the first connection is not closed as idle')
def check_kept(context: Any) -> None:
    """Compare that of the loan after the idle connections were closed."""
    first, _, _, last = context.lent
    assert last is first
