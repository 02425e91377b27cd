"""Steps of holders.feature."""

import asyncio
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.group_builders import (
    DATA_CENTRE,
    build_route,
    build_world,
    with_replica_proof,
)
from features.holder_builders import (
    build_new_view,
    build_peers,
    build_view,
    find_holders,
)
from features.relay_builders import build_held_pair, caller_statements
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.groups.connection_share import StandInShare
from mimosapond.groups.log_position import LogPosition
from mimosapond.peers.holder_directory import HolderDirectory
from mimosapond.peers.holder_ranking import (
    holders_per_data_centre,
    rank_by_data_centre,
)
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_discovery import PeerDiscovery
from mimosapond.peers.peer_source import Peers
from mimosapond.routing.relay_port import NoRelays

_GROUP: Final = 'orders'
_TIMEOUT_MS: Final = 800
_MAX_HOST_COUNT: Final = 50
_HELD_RATIO: Final = 0.8
_REST_S: Final = 0.05
_NEWER: Final = LogPosition(2, 10)

_HOSTS: Final = st.lists(
    st.builds(
        Peer,
        st.text('abcdef', min_size=1, max_size=4),
        st.just('10.0.0.1:1'),
        st.sampled_from(('x', 'y', 'z')),
        st.floats(0.1, 4),
    ),
    min_size=1,
    max_size=_MAX_HOST_COUNT,
    unique_by=lambda peer: peer.host,
)


@settings(derandomize=True, deadline=None)
@for_all(_HOSTS, st.text('gh', min_size=1, max_size=3))
def _check_agreement(hosts: list[Peer], group: str) -> None:
    holders = find_holders(group, hosts)
    data_centres = {host.data_centre for host in hosts}
    held = {host.data_centre for host in hosts if host.host in holders}
    assert held == data_centres, holders
    assert holders == find_holders(group, list(reversed(hosts)))


@settings(derandomize=True, deadline=None)
@for_all(_HOSTS, st.integers(1, 200))
def _check_shares(hosts: list[Peer], connection_count: int) -> None:
    view = build_view(hosts[0], hosts)
    holder_count = view.holders.holder_count(_GROUP)
    if holder_count is None:
        return
    holders = find_holders(_GROUP, hosts)
    assert len(holders) == holder_count
    share_count = int(connection_count * _HELD_RATIO / holder_count)
    assert share_count * len(holders) <= connection_count


@settings(derandomize=True, deadline=None)
@for_all(_HOSTS, st.data())
def _check_moves(hosts: list[Peer], data: Any) -> None:
    lost = data.draw(st.sampled_from(hosts))
    before = rank_by_data_centre(_GROUP, hosts)
    remaining = [host for host in hosts if host is not lost]
    after = rank_by_data_centre(_GROUP, remaining)
    for data_centre, ranked in before.items():
        expected = [host for host in ranked if host is not lost]
        assert after.get(data_centre, []) == expected


@then('any hosts agree on the holders of any group')
def check_agreement(context: Any) -> None:
    """Check generated systems."""
    _check_agreement()


@then("the shares of the holders of any group stay under the members' limit")
def check_shares(context: Any) -> None:
    """Check generated systems and limits."""
    _check_shares()


@then('a host that is lost moves only the groups that it held')
def check_moves(context: Any) -> None:
    """Check that the order of the other hosts does not change."""
    _check_moves()


@given('a system of {hosts:d} hosts in {data_centres:d} data centres')
def build_system(context: Any, hosts: int, data_centres: int) -> None:
    """Build the hosts."""
    context.hosts = build_peers(hosts, data_centres)


@then('{count:d} hosts hold each group')
def check_count(context: Any, count: int) -> None:
    """Count the hosts that consider themselves holders."""
    for group in ('orders', 'stock', 'g3'):
        holders = find_holders(group, context.hosts)
        assert len(holders) == count, holders


@given('a host that does not hold the group')
def choose_other(context: Any) -> None:
    """Take the view of the first host that is no holder."""
    holders = find_holders(_GROUP, context.hosts)
    own = next(host for host in context.hosts if host.host not in holders)
    context.view = build_view(own, context.hosts)
    ranking = rank_by_data_centre(_GROUP, context.hosts)
    count = holders_per_data_centre(ranking)
    context.near_ranked = ranking[own.data_centre]
    context.near_holders = context.near_ranked[:count]
    context.far_holders = [
        peer
        for data_centre, ranked in ranking.items()
        if data_centre != own.data_centre
        for peer in ranked[:count]
    ]


@given('a host that follows the holders of the group')
def choose_stand_in(context: Any) -> None:
    """Take the view of the first host that holds the group if need be."""
    context.view = next(
        view
        for view in (build_view(host, context.hosts) for host in context.hosts)
        if isinstance(view.holders.share(_GROUP), StandInShare)
    )


@then('the first {count:d} candidates are holders of its own data centre')
def check_near(context: Any, count: int) -> None:
    """Compare the candidates with the ranking."""
    found = context.view.holders.candidates(_GROUP)[:count]
    assert len(found) == count, found
    assert {peer.host for peer in found} == {
        peer.host for peer in context.near_holders
    }, found


@when('the first candidate gives no answer')
def fail_first(context: Any) -> None:
    """Record a failure of the preferred candidate."""
    context.silent_peer = context.view.holders.candidates(_GROUP)[0]
    context.view.peers.record_failure(context.silent_peer)


@then('the first candidate is another holder of its own data centre')
def check_next(context: Any) -> None:
    """Check that the failed one is not preferred any more."""
    first = context.view.holders.candidates(_GROUP)[0]
    assert first != context.silent_peer
    assert first.data_centre == context.view.own.data_centre


@when('all hosts of its own data centre give no answer')
def fail_near(context: Any) -> None:
    """Record failures of all hosts of the data centre."""
    for peer in context.near_ranked:
        context.view.peers.record_failure(peer)


@then('the first candidate is a holder of another data centre')
def check_far(context: Any) -> None:
    """Compare the candidate with the holders elsewhere."""
    first = context.view.holders.candidates(_GROUP)[0]
    assert first in context.far_holders, first


@when('another host passes on work for the group')
def pass_on(context: Any) -> None:
    """Record a request of another host."""
    assert context.view.holders.record_request(_GROUP)


@then('the host holds the group')
def check_holds(context: Any) -> None:
    """Check that the host holds it now."""
    assert context.view.holders.holds(_GROUP)


@then('the host does not hold the group')
def check_holds_not(context: Any) -> None:
    """Check that the host does not hold it now."""
    assert not context.view.holders.holds(_GROUP)


@when('{seconds:d} s pass')
def pass_time(context: Any, seconds: int) -> None:
    """Advance the clock."""
    context.view.clock.now_s += seconds


@when('all hosts give no answer')
def fail_all(context: Any) -> None:
    """Record failures of all other hosts."""
    for peer in context.view.peers.peers:
        context.view.peers.record_failure(peer)
    assert not context.view.holders.candidates(_GROUP)


@when('{seconds:d} s pass while all hosts give no answer')
def fail_for(context: Any, seconds: int) -> None:
    """Let every attempt fail, in steps shorter than a pause."""
    for _ in range(seconds * 2):
        context.view.clock.now_s += 0.5
        fail_all(context)


@then('the group is not reachable')
def check_unreachable(context: Any) -> None:
    """Check what the readiness of the host depends on."""
    assert not context.view.holders.is_reachable(_GROUP)


@given('a host that has not read the announcements')
def build_new(context: Any) -> None:
    """Build a view without any other host."""
    context.view = build_new_view(Peer('own', '10.0.0.1:1', DATA_CENTRE))


@given('a host that does not hold the group of its callers, and one that does')
def build_held(context: Any) -> None:
    """Build both hosts; the callers are at the first one."""
    _start(context, '')


@given('before it in the ranking a holder that {fault}')
def add_faulty_holder(context: Any, fault: str) -> None:
    """Add a holder that is preferred to the other one."""
    _start(context, fault)


@given('the other holder is unreachable as well')
def close_holder(context: Any) -> None:
    """Close the listener of the last holder."""
    context.pair.server.stop()


def _start(context: Any, fault: str) -> None:
    if not fault:
        context.loop = asyncio.new_event_loop()
        context.add_cleanup(_close, context)
    context.pair = context.loop.run_until_complete(_build(fault))
    context.world = context.pair.origin
    context.session = context.pair.origin.open_session()


async def _build(fault: str) -> Any:
    pair = await build_held_pair(build_route(timeout_ms=_TIMEOUT_MS), fault)
    relay = pair.relay
    await relay.probe.ask(relay.group, relay.group.members['p'])
    return pair


def _close(context: Any) -> None:
    context.loop.run_until_complete(_stop_all())
    context.loop.close()


async def _stop_all() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@then('the members of the holder ran {texts}')
def check_runs(context: Any, texts: str) -> None:
    """Compare the statements of callers at the members of the last holder."""
    actual = ', '.join(caller_statements(context.pair.relay.fakes))
    expected = '' if texts == 'nothing' else texts
    if expected.startswith('DISCARD or SET'):
        assert actual in {'SET limit 5, write x', 'DISCARD, write x'}, actual
        return
    assert actual == expected, actual


@then('the first host sent nothing to a member')
def check_nothing_sent(context: Any) -> None:
    """Check that it opened no connection of its own."""
    for fake in context.pair.origin.fakes.values():
        assert not fake.executed_statements, fake
        assert not fake.control_request_count, fake


@given('an answer of a former primary proves nothing')
def use_replica_proof(context: Any) -> None:
    """Let the services of the world ask a replica for a proof."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.world = with_replica_proof(build_world(build_route()))
    context.session = context.world.open_session()


@given('replica {name} {state}')
def set_replica(context: Any, name: str, state: str) -> None:
    """Set what the replica reports of itself."""
    fake = context.world.fakes[name]
    match state:
        case 'is silent':
            fake.is_silent = True
        case 'is paused':
            fake.paused_term = 7
        case 'leads a newer term':
            fake.is_primary = True
            fake.position = _NEWER
        case 'follows a newer one':
            fake.position = _NEWER
        case _:
            assert state == 'follows', state


@when('primary p is probed')
def probe(context: Any) -> None:
    """Probe p once."""
    world = context.world
    context.loop.run_until_complete(
        world.probe.ask(world.group, world.group.members['p'])
    )


@then('p is {known} as the primary')
def check_confirmed(context: Any, known: str) -> None:
    """Check whether reads may wait for the position of p."""
    is_confirmed = context.world.group.observations.newest is not None
    assert is_confirmed == (known == 'confirmed'), is_confirmed


class _OneAnnouncement:
    """Source of the announcements of a system of one other host."""

    async def announce(self, own: Peer) -> Peers:
        """Return the other host."""
        return Peers((Peer('far', '10.0.0.1:1', DATA_CENTRE),))


@given('a host that has not read the announcements yet')
def build_late_discovery(context: Any) -> None:
    """Build a discovery that has not run, for the group of the world."""
    own = Peer('own', '10.0.0.1:2', DATA_CENTRE)
    context.peers = PeerDirectory(own, boot_time_s)
    context.holders = HolderDirectory(context.peers, own, boot_time_s)
    context.discovery = PeerDiscovery(
        own,
        _OneAnnouncement(),
        context.peers,
        context.world.directory.request_checks,
        is_first_start=False,
    )


@when('the announcements are read while its monitor rests')
def read_while_resting(context: Any) -> None:
    """Start the monitor, then the discovery, and measure the time."""
    context.found_s = asyncio.run(_find_primary(context))


async def _find_primary(context: Any) -> float:
    world = context.world
    monitor = PrimaryMonitor(
        world.group,
        world.probe,
        world.failover,
        NoRelays(),
        boot_time_s,
        context.holders,
    )
    tasks = [asyncio.create_task(monitor.run())]
    await asyncio.sleep(_REST_S)
    started_s = boot_time_s()
    tasks.append(asyncio.create_task(context.discovery.run()))
    await world.group.await_primary(1.0)
    found_s = boot_time_s() - started_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return found_s


@then('the primary is found within {limit_ms:d} ms')
def check_found(context: Any, limit_ms: int) -> None:
    """Compare the time from the announcements to the primary."""
    assert context.found_s * 1000 < limit_ms, context.found_s
