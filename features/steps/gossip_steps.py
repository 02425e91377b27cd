"""Steps of gossip.feature."""

import asyncio
import contextlib
from collections import Counter
from typing import Any

import attrs
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from features.gossip_builders import build_document, build_host, build_member
from features.gossip_fakes import GossipFleet
from loadtool.manual_clock import ManualClock
from loadtool.gossip_instance import GossipInstance
from mimosapond.decision_log import NullDecisionLog
from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.listed_host import ListedHost
from mimosapond.membership import Membership
from mimosapond.rendezvous import Placement

_MEMBER_COUNT = 40
_LONG_ID_LENGTH = 36


def _build_membership(own: HostRecord) -> Membership:
    return Membership(own, ManualClock(), NullDecisionLog(), 1)


def _host(context: Any, name: str) -> GossipInstance:
    host: GossipInstance = context.fleet.hosts[name]
    return host


def _find(host: GossipInstance, name: str) -> list[HostRecord]:
    return [
        record
        for record in (*host.membership.hosts(), *host.membership.dead())
        if record.host_id.startswith(f'{name}-')
    ]


def _share(fleet: GossipFleet, term: int) -> float:
    views = [host.views.get('forge-a') for host in fleet.hosts.values()]
    reached = [view for view in views if view and view.term == term]
    return len(reached) / len(views)


@given('a gossip fleet of {count:d} hosts')
def start_fleet(context: Any, count: int) -> None:
    """Start hosts that know only the seed addresses."""
    context.fleet = GossipFleet(count)
    context.add_cleanup(context.fleet.runner.close)


@when('the gossip fleet joins')
def join(context: Any) -> None:
    """Compare the states as hosts do at their start, and run periods."""
    context.fleet.compare()
    context.fleet.run_periods(8)
    context.fleet.compare()


@given('a joined gossip fleet of {count:d} hosts')
def start_joined(context: Any, count: int) -> None:
    """Start hosts and run them until all of them know each other."""
    start_fleet(context, count)
    join(context)
    context.fleet.run_periods(30)
    check_all_alive(context, count)


@when('gossip host {name} is killed')
def kill(context: Any, name: str) -> None:
    """Stop a host without an announcement."""
    context.fleet.stop(name)


@when('gossip host {name} is restarted')
def restart(context: Any, name: str) -> None:
    """Replace a host by a new process at the same address."""
    context.fleet.start(name)


@when('gossip host {name} is isolated')
def isolate(context: Any, name: str) -> None:
    """Cut the calls between a host and all others."""
    context.fleet.isolate(name)


@when('the gossip hosts are reconnected')
def reconnect(context: Any) -> None:
    """Remove all cuts between hosts."""
    context.fleet.reconnect()


@when('gossip host {name} suspects {other} without sending the change')
def suspect_unsent(context: Any, name: str, other: str) -> None:
    """Let an unanswered probe start a suspicion and discard the change."""
    fleet = context.fleet
    host = fleet.hosts[name]
    record = _find(host, other)[0]
    fleet.isolate(other)
    while host.membership.host(record.host_id).state != HostState.SUSPECT:
        fleet.run(host.prober.step())
    fleet.reconnect()
    _discard_changes(host)


@when('gossip host {name} marks {other} dead without sending the change')
def mark_dead_unsent(context: Any, name: str, other: str) -> None:
    """Mark a host dead and discard the queued change."""
    host = _host(context, name)
    record = _find(host, other)[0]
    host.membership.mark_dead(record.host_id)
    _discard_changes(host)


def _discard_changes(host: GossipInstance) -> None:
    while host.gossip.compose()['changes']:
        host.gossip.take_urgent()


@when('gossip host {name} runs {count:d} probe')
@when('gossip host {name} runs {count:d} probes')
def run_probes(context: Any, name: str, count: int) -> None:
    """Run steps of the prober of one host."""
    for _ in range(count):
        context.fleet.run(_host(context, name).prober.step())


@when('gossip host {name} compares its state with {other}')
def compare_with(context: Any, name: str, other: str) -> None:
    """Run one anti-entropy exchange between two hosts."""
    address = context.fleet.address(other)
    host = _host(context, name)
    context.fleet.run(host.anti_entropy.exchange(address))


@when('the gossip path from {first} to {second} is {fault}')
def break_path(context: Any, first: str, second: str, fault: str) -> None:
    """Cut a path, or let only its persistent connection lose all calls."""
    fleet = context.fleet
    pair = (fleet.address(first), fleet.address(second))
    network = fleet.around.network
    faulty = network.blocked_links if fault == 'cut' else network.silent_links
    faulty.add(pair)


@when('gossip hosts 1 to 3 are cut from 4 to 6')
def cut_halves(context: Any) -> None:
    """Cut all calls between the two halves."""
    for first in ('host-1', 'host-2', 'host-3'):
        for second in ('host-4', 'host-5', 'host-6'):
            context.fleet.cut(first, second)


@when('the gossip fleet is paused for {duration_s:d} s')
def pause(context: Any, duration_s: int) -> None:
    """Advance the clock without a step and record changes from then on."""
    context.changes = []
    for host in context.fleet.hosts.values():
        host.membership.subscribe(context.changes.append)
    context.fleet.around.clock.skip(duration_s)


@then('no gossip host has seen {name} as dead')
def check_no_death(context: Any, name: str) -> None:
    """Check that no change since the pause marks a host dead."""
    assert context.changes
    assert all(change.state != HostState.DEAD for change in context.changes)


@when('the gossip fleet runs {count:d} periods')
def run_periods(context: Any, count: int) -> None:
    """Run all hosts for some probe periods."""
    context.fleet.run_periods(count)


@when('the gossip fleet compares its state {count:d} times')
def compare(context: Any, count: int) -> None:
    """Run anti-entropy steps of all hosts."""
    for _ in range(count):
        context.fleet.compare()


@when('the gossip fleet pushes')
def push(context: Any) -> None:
    """Push all urgent changes without probes."""
    context.fleet.push()


@when('the gossip tasks run for {duration_s:d} s')
def run_tasks(context: Any, duration_s: int) -> None:
    """Run the task loops of all hosts on the manual clock."""
    context.fleet.runner.run(_run_tasks(context.fleet, duration_s))


async def _run_tasks(fleet: GossipFleet, duration_s: int) -> None:
    tasks = [
        asyncio.create_task(part.run())
        for host in fleet.hosts.values()
        for part in (
            host.prober,
            host.pusher,
            host.anti_entropy,
            host.documents,
            host.host_list,
        )
    ]
    await fleet.around.clock.advance(duration_s)
    for task in tasks:
        assert not task.done(), task.exception()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


@when('gossip host {name} announces that it leaves')
def announce(context: Any, name: str) -> None:
    """Run the first step of a shutdown."""
    context.fleet.run(context.fleet.hosts[name].leave.announce())


@when('gossip host {name} is reported alive to all at its incarnation')
def report_alive(context: Any, name: str) -> None:
    """Deliver a delayed report to all hosts."""
    own = context.fleet.hosts[name].membership.own
    late = attrs.evolve(own, state=HostState.ALIVE)
    for host in context.fleet.hosts.values():
        assert not host.membership.merge(late)


@when('gossip host {name} is reported suspect to itself')
def report_suspect(context: Any, name: str) -> None:
    """Deliver a suspicion to the host and check that it refutes it."""
    membership = context.fleet.hosts[name].membership
    incarnation = membership.own.incarnation + 1
    suspicion = attrs.evolve(
        membership.own,
        state=HostState.SUSPECT,
        incarnation=incarnation,
    )
    assert membership.merge(suspicion)
    assert membership.own.incarnation > incarnation


@when('gossip host {name} is listed as {state} by the platform')
def list_host(context: Any, name: str, state: str) -> None:
    """Change the host list; if the entry is out of date, poll on all hosts."""
    own = context.fleet.hosts[name].membership.own
    hosts = context.fleet.around.platform.hosts
    place = (own.address, own.data_centre)
    hosts[own.host_id] = ListedHost(own.host_id, *place, state)
    if state == 'live':
        for host in context.fleet.hosts.values():
            context.fleet.run(host.host_list.poll())


@when('the gossip host list is empty')
def empty_list(context: Any) -> None:
    """Remove all entries from the host list."""
    context.fleet.around.platform.hosts.clear()


@when('gossip host {name} reads the host list')
def read_list(context: Any, name: str) -> None:
    """Poll the host list once."""
    context.fleet.run(context.fleet.hosts[name].host_list.poll())


@when('gossip host {name} acquires term {term:d}')
def acquire(context: Any, name: str, term: int) -> None:
    """Merge a view that names the host as the holder."""
    host = context.fleet.hosts[name]
    holder = host.membership.own.host_id
    view = GroupView('forge-a', term, 'forge-a-1', holder)
    assert context.fleet.run(host.views.merge(view))


@when('gossip host {name} learns term {term:d}')
def learn_term(context: Any, name: str, term: int) -> None:
    """Deliver a delayed view with an older term."""
    view = GroupView('forge-a', term, 'forge-a-1', 'late')
    host = context.fleet.hosts[name]
    assert not context.fleet.run(host.views.merge(view))


@given('a gossip document is known to all')
def know_document(context: Any) -> None:
    """Apply revision 1 of the document on all hosts."""
    for host in context.fleet.hosts.values():
        host.store.apply(build_document(1))
        host.store.is_ready = True


@when('the gossip document no longer declares {name}')
def undeclare(context: Any, name: str) -> None:
    """Apply revision 2, which declares only forge-a-1, on all hosts."""
    for host in context.fleet.hosts.values():
        host.store.apply(build_document(2, members=('forge-a-1',)))


@when('gossip target {name} is marked as leaving by {source}')
def mark_target(context: Any, name: str, source: str) -> None:
    """Mark a target by an operator's change or by the host list."""
    host = context.fleet.hosts['host-1']
    if source == 'an operator':
        host.leaving.mark_leaving((name,))
        return
    listed = ListedHost('vm-17', f'{name}:5000', 'centre-1', 'leaving')
    context.fleet.around.platform.hosts['vm-17'] = listed
    context.fleet.run(host.host_list.poll())


@when('gossip host {name} learns of {count:d} dead hosts')
def learn_many(context: Any, name: str, count: int) -> None:
    """Queue two changes for each of many hosts."""
    membership = context.fleet.hosts[name].membership
    for index in range(count):
        host_id = str(index).zfill(_LONG_ID_LENGTH)
        membership.merge(build_host(host_id))
        membership.mark_dead(host_id)


@then('each gossip host knows {count:d} hosts, all alive')
def check_all_alive(context: Any, count: int) -> None:
    """Check the number of hosts and their states on all hosts."""
    for host in context.fleet.hosts.values():
        records = host.membership.hosts()
        assert len(records) == count, records
        assert {record.state for record in records} == {HostState.ALIVE}


@then('each gossip host sees {name} as {state}')
def check_state(context: Any, name: str, state: str) -> None:
    """Check the state of a host on all hosts."""
    for observer in context.fleet.hosts:
        check_seen(context, observer, name, state)


@then('gossip host {observer} sees {name} as {state}')
def check_seen(context: Any, observer: str, name: str, state: str) -> None:
    """Check the state of a host on one host."""
    found = _find(context.fleet.hosts[observer], name)
    assert [record.state for record in found] == [state], found


@then('gossip host {name} is suspect on at least one host')
def check_suspect(context: Any, name: str) -> None:
    """Check that at least one host suspects the host."""
    states = {
        record.state
        for host in context.fleet.hosts.values()
        for record in _find(host, name)
    }
    assert HostState.SUSPECT in states, states


@then('gossip host {name} is placeable on no host')
def check_not_placeable(context: Any, name: str) -> None:
    """Check that no host would place ownership on the host."""
    for host in context.fleet.hosts.values():
        ids = [record.host_id for record in host.membership.placeable()]
        assert not any(found.startswith(f'{name}-') for found in ids), ids


@then('gossip host {name} has incarnation {incarnation:d}')
def check_incarnation(context: Any, name: str, incarnation: int) -> None:
    """Check how often the host has refuted a suspicion."""
    own = context.fleet.hosts[name].membership.own
    assert own.incarnation == incarnation, own


@then('the gossip host list names {name}')
def check_listed(context: Any, name: str) -> None:
    """Check that the host list contains the host's entry."""
    own = context.fleet.hosts[name].membership.own
    assert own.host_id in context.fleet.around.platform.hosts


@then('{share:d}% of the gossip hosts see term {term:d}')
def check_share(context: Any, share: int, term: int) -> None:
    """Check that at least this share of the hosts knows the term."""
    reached = _share(context.fleet, term)
    assert reached >= share / 100, reached


@then('each gossip host treats {name} as {verdict}')
def check_target(context: Any, name: str, verdict: str) -> None:
    """Check on all hosts whether the target is leaving."""
    for host in context.fleet.hosts.values():
        assert host.leaving.is_leaving(name) == (verdict == 'leaving')


@then('no gossip probe exceeds {limit_bytes:d} bytes')
def check_size(context: Any, limit_bytes: int) -> None:
    """Check the size of the largest probe."""
    largest = context.fleet.around.network.largest_bytes['probe']
    assert limit_bytes / 2 < largest <= limit_bytes, largest


@then('gossip probes carry no changes')
def check_silent(context: Any) -> None:
    """Compose a probe on each host and check that it has no changes."""
    for host in context.fleet.hosts.values():
        assert not host.gossip.compose()['changes']


@then('gossip records merged in any order give the same state')
def check_merge_order(context: Any) -> None:
    """Merge the same reports in two orders."""
    _check_merge_order()


_RECORDS = st.lists(
    st.builds(
        build_host,
        st.sampled_from(('a', 'b')),
        st.just('centre-1'),
        # A record of an unknown dead host is ignored, so none is generated.
        st.sampled_from(
            (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING),
        ),
        st.integers(0, 3),
    ),
)


@settings(derandomize=True, deadline=None)
@hypothesis_given(_RECORDS, st.randoms(use_true_random=False))
def _check_merge_order(records: list[HostRecord], rng: Any) -> None:
    first = _build_membership(build_host('own'))
    second = _build_membership(build_host('own'))
    shuffled = rng.sample(records, len(records))
    for record in records:
        first.merge(record)
    for record in shuffled:
        second.merge(record)
    assert set(first.hosts()) == set(second.hosts())


@then("gossip placement moves only the departed host's members")
def check_moves(context: Any) -> None:
    """Mark one host dead and compare the owners of all members."""
    _check_moves()


@settings(derandomize=True, deadline=None)
@hypothesis_given(
    st.sets(st.text(min_size=1), min_size=2, max_size=12),
    st.sets(st.text(min_size=1), max_size=_MEMBER_COUNT),
    st.data(),
)
def _check_moves(hosts: set[str], names: set[str], draw: Any) -> None:
    departed = draw.draw(st.sampled_from(sorted(hosts)))
    membership = _build_membership(build_host('own', 'centre-2'))
    for host_id in sorted(hosts - {'own'}):
        membership.merge(build_host(host_id))
    placement = Placement(membership, NullDecisionLog())
    members = [build_member(name) for name in sorted(names)]
    before = [placement.owner_of(member) for member in members]
    membership.mark_dead(departed)
    for member, previous in zip(members, before, strict=True):
        owner = placement.owner_of(member)
        assert owner is not None and previous is not None
        assert owner.host_id != departed or departed == 'own'
        assert owner == previous or previous.host_id == departed


@then('gossip placement gives 8 hosts between 25 and 80 of 400 members')
def check_balance(context: Any) -> None:
    """Count the members of each host; the mean is 50."""
    membership = _build_membership(build_host('entry-0'))
    for number in range(1, 8):
        membership.merge(build_host(f'entry-{number}'))
    placement = Placement(membership, NullDecisionLog())
    names = [f'member-{index}' for index in range(400)]
    owners = Counter(placement.owner_of(build_member(name)) for name in names)
    assert len(owners) == 8, owners
    assert all(25 <= count <= 80 for count in owners.values()), owners


class _RecordingLog:
    """Decision log that records its lines."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.lines: list[tuple[str, str]] = []

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Record the decision and its reason."""
        assert figures
        self.lines.append((decision, reason))


@given('a gossip decision log')
def build_log(context: Any) -> None:
    """Build a membership and a placement that log to one decision log."""
    context.log = _RecordingLog()
    own = build_host('own', 'centre-2')
    context.membership = Membership(own, ManualClock(), context.log, 1)
    context.placement = Placement(context.membership, context.log)


@when('the gossip owner of a member is asked for twice and then dies')
def mark_owner_dead(context: Any) -> None:
    """Ask for the owner before and after it is marked dead."""
    for host_id in ('a', 'b'):
        context.membership.merge(build_host(host_id))
    member = build_member('forge-a-1')
    owner = context.placement.owner_of(member)
    assert context.placement.owner_of(member) is owner
    context.membership.mark_dead(
        owner.host_id,
        'suspicion not refuted in time',
    )
    assert context.placement.owner_of(member) is not owner


@then('the gossip decision log holds')
def check_log(context: Any) -> None:
    """Compare all lines with the table."""
    expected = [(row['decision'], row['evidence']) for row in context.table]
    assert context.log.lines == expected, context.log.lines


@given('gossip hosts "{text}"')
def build_placement(context: Any, text: str) -> None:
    """Build a membership from ``host:centre:state`` words."""
    membership = _build_membership(
        build_host('own', 'centre-3', HostState.LEAVING),
    )
    for word in text.split():
        host_id, centre, state = word.split(':')
        membership.merge(build_host(host_id, centre))
        membership.merge(build_host(host_id, centre, HostState(state)))
    context.placement = Placement(membership, NullDecisionLog())


@then('the gossip owner of a member in centre-1 is {expected}')
def check_owner(context: Any, expected: str) -> None:
    """Check the host id of the owner."""
    owner = context.placement.owner_of(build_member('forge-a-1'))
    found = 'none' if owner is None else owner.host_id
    assert found == expected, found
