"""Steps of spread.feature."""

import asyncio
import contextlib
from collections import Counter
from typing import Any

import attrs
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from features.spread_builders import build_document, build_host, build_member
from features.spread_fakes import SpreadFleet
from loadtool.manual_clock import ManualClock
from loadtool.spread_instance import SpreadInstance
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


def _host(context: Any, name: str) -> SpreadInstance:
    host: SpreadInstance = context.fleet.hosts[name]
    return host


def _find(host: SpreadInstance, name: str) -> list[HostRecord]:
    return [
        record
        for record in (*host.membership.hosts(), *host.membership.dead())
        if record.host_id.startswith(f'{name}-')
    ]


def _share(fleet: SpreadFleet, term: int) -> float:
    views = [host.views.get('forge-a') for host in fleet.hosts.values()]
    reached = [view for view in views if view and view.term == term]
    return len(reached) / len(views)


@given('a spread fleet of {count:d} hosts')
def start_fleet(context: Any, count: int) -> None:
    """Start hosts that know only seeds."""
    context.fleet = SpreadFleet(count)
    context.add_cleanup(context.fleet.runner.close)


@when('the spread fleet joins')
def join(context: Any) -> None:
    """Run what a start does, and some periods."""
    context.fleet.compare()
    context.fleet.run_periods(8)
    context.fleet.compare()


@given('a joined spread fleet of {count:d} hosts')
def start_joined(context: Any, count: int) -> None:
    """Start hosts and let them find each other."""
    start_fleet(context, count)
    join(context)
    context.fleet.run_periods(30)
    check_all_alive(context, count)


@when('spread host {name} is killed')
def kill(context: Any, name: str) -> None:
    """End a host without notice."""
    context.fleet.stop(name)


@when('spread host {name} is restarted')
def restart(context: Any, name: str) -> None:
    """Replace a host by a new process at the same address."""
    context.fleet.start(name)


@when('spread host {name} is isolated')
def isolate(context: Any, name: str) -> None:
    """Cut a host off."""
    context.fleet.isolate(name)


@when('the spread paths are healed')
def heal(context: Any) -> None:
    """Restore all calls."""
    context.fleet.heal()


@when('spread host {name} suspects {other} and tells nobody')
def suspect_silently(context: Any, name: str, other: str) -> None:
    """Let an unanswered probe start the suspicion, and drop the news."""
    fleet = context.fleet
    host = fleet.hosts[name]
    record = _find(host, other)[0]
    fleet.isolate(other)
    while host.membership.host(record.host_id).state != HostState.SUSPECT:
        fleet.run(host.prober.step())
    fleet.heal()
    _drop_news(host)


@when('spread host {name} holds {other} dead and tells nobody')
def hold_dead(context: Any, name: str, other: str) -> None:
    """Mark a host dead and drop the news."""
    host = _host(context, name)
    record = _find(host, other)[0]
    host.membership.mark_dead(record.host_id)
    _drop_news(host)


def _drop_news(host: SpreadInstance) -> None:
    while host.gossip.compose()['changes']:
        host.gossip.take_urgent()


@when('spread host {name} runs {count:d} probe')
@when('spread host {name} runs {count:d} probes')
def run_probes(context: Any, name: str, count: int) -> None:
    """Run the prober of one host."""
    for _ in range(count):
        context.fleet.run(_host(context, name).prober.step())


@when('spread host {name} compares its state with {other}')
def compare_with(context: Any, name: str, other: str) -> None:
    """Run one exchange."""
    address = context.fleet.address(other)
    host = _host(context, name)
    context.fleet.run(host.anti_entropy.exchange(address))


@when('the spread path from {first} to {second} is {fault}')
def break_path(context: Any, first: str, second: str, fault: str) -> None:
    """Cut a path, or make only its kept connection silent."""
    fleet = context.fleet
    pair = (fleet.address(first), fleet.address(second))
    network = fleet.around.network
    faulty = network.cut if fault == 'cut' else network.silent_links
    faulty.add(pair)


@when('spread hosts 1 to 3 are cut from 4 to 6')
def cut_halves(context: Any) -> None:
    """Separate two halves."""
    for first in ('host-1', 'host-2', 'host-3'):
        for second in ('host-4', 'host-5', 'host-6'):
            context.fleet.cut(first, second)


@when('the spread fleet is paused for {duration_s:d} s')
def pause(context: Any, duration_s: int) -> None:
    """Let time pass without a step, and watch for deaths from then on."""
    context.deaths = []
    for host in context.fleet.hosts.values():
        host.membership.subscribe(context.deaths.append)
    context.fleet.around.clock.skip(duration_s)


@then('no spread host has seen {name} as dead')
def check_no_death(context: Any, name: str) -> None:
    """Look through the changes since the pause."""
    assert context.deaths
    assert all(change.state != HostState.DEAD for change in context.deaths)


@when('the spread fleet runs {count:d} periods')
def run_periods(context: Any, count: int) -> None:
    """Advance the fleet."""
    context.fleet.run_periods(count)


@when('the spread fleet compares its state {count:d} times')
def compare(context: Any, count: int) -> None:
    """Run anti-entropy."""
    for _ in range(count):
        context.fleet.compare()


@when('the spread fleet pushes')
def push(context: Any) -> None:
    """Push without probes."""
    context.fleet.push()


@when('the spread tasks run for {duration_s:d} s')
def run_tasks(context: Any, duration_s: int) -> None:
    """Run the real task loops on the manual clock."""
    context.fleet.runner.run(_run_tasks(context.fleet, duration_s))


async def _run_tasks(fleet: SpreadFleet, duration_s: int) -> None:
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


@when('spread host {name} announces that it leaves')
def announce(context: Any, name: str) -> None:
    """Run the first step of a shutdown."""
    context.fleet.run(context.fleet.hosts[name].leave.announce())


@when('spread host {name} is reported alive to all at its incarnation')
def report_alive(context: Any, name: str) -> None:
    """Deliver a late report."""
    own = context.fleet.hosts[name].membership.own
    late = attrs.evolve(own, state=HostState.ALIVE)
    for host in context.fleet.hosts.values():
        assert not host.membership.merge(late)


@when('spread host {name} is reported suspect to itself')
def report_suspect(context: Any, name: str) -> None:
    """Deliver a suspicion that the host refutes."""
    membership = context.fleet.hosts[name].membership
    incarnation = membership.own.incarnation + 1
    suspicion = attrs.evolve(
        membership.own,
        state=HostState.SUSPECT,
        incarnation=incarnation,
    )
    assert membership.merge(suspicion)
    assert membership.own.incarnation > incarnation


@when('spread host {name} is listed as {state} by the platform')
def list_host(context: Any, name: str, state: str) -> None:
    """Change the host list, and let all hosts read it if it lags."""
    own = context.fleet.hosts[name].membership.own
    hosts = context.fleet.around.platform.hosts
    place = (own.address, own.data_centre)
    hosts[own.host_id] = ListedHost(own.host_id, *place, state)
    if state == 'live':
        for host in context.fleet.hosts.values():
            context.fleet.run(host.host_list.poll())


@when('the spread host list is empty')
def empty_list(context: Any) -> None:
    """Let the list lag behind all hosts."""
    context.fleet.around.platform.hosts.clear()


@when('spread host {name} reads the host list')
def read_list(context: Any, name: str) -> None:
    """Poll once."""
    context.fleet.run(context.fleet.hosts[name].host_list.poll())


@when('spread host {name} acquires term {term:d}')
def acquire(context: Any, name: str, term: int) -> None:
    """Merge a view of which the host is the holder."""
    host = context.fleet.hosts[name]
    holder = host.membership.own.host_id
    view = GroupView('forge-a', term, 'forge-a-1', holder)
    assert context.fleet.run(host.views.merge(view))


@when('spread host {name} learns term {term:d}')
def learn_term(context: Any, name: str, term: int) -> None:
    """Deliver a late view."""
    view = GroupView('forge-a', term, 'forge-a-1', 'late')
    host = context.fleet.hosts[name]
    assert not context.fleet.run(host.views.merge(view))


@given('a spread document is known to all')
def know_document(context: Any) -> None:
    """Put revision 1 in force."""
    for host in context.fleet.hosts.values():
        host.store.apply(build_document(1))
        host.store.is_ready = True


@when('the spread document no longer declares {name}')
def undeclare(context: Any, name: str) -> None:
    """Put revision 2 in force."""
    for host in context.fleet.hosts.values():
        host.store.apply(build_document(2, members=('forge-a-1',)))


@when('spread target {name} is marked as leaving by {source}')
def mark_target(context: Any, name: str, source: str) -> None:
    """Mark a target at one host."""
    host = context.fleet.hosts['host-1']
    if source == 'an operator':
        host.leaving.mark_leaving((name,))
        return
    listed = ListedHost('vm-17', f'{name}:5000', 'centre-1', 'leaving')
    context.fleet.around.platform.hosts['vm-17'] = listed
    context.fleet.run(host.host_list.poll())


@when('spread host {name} learns of {count:d} dead hosts')
def learn_many(context: Any, name: str, count: int) -> None:
    """Fill the queue of changes."""
    membership = context.fleet.hosts[name].membership
    for index in range(count):
        host_id = str(index).zfill(_LONG_ID_LENGTH)
        membership.merge(build_host(host_id))
        membership.mark_dead(host_id)


@then('each spread host knows {count:d} hosts, all alive')
def check_all_alive(context: Any, count: int) -> None:
    """Compare the states."""
    for host in context.fleet.hosts.values():
        records = host.membership.hosts()
        assert len(records) == count, records
        assert {record.state for record in records} == {HostState.ALIVE}


@then('each spread host sees {name} as {state}')
def check_state(context: Any, name: str, state: str) -> None:
    """Compare one record at all hosts."""
    for observer in context.fleet.hosts:
        check_seen(context, observer, name, state)


@then('spread host {observer} sees {name} as {state}')
def check_seen(context: Any, observer: str, name: str, state: str) -> None:
    """Compare one record at one host."""
    found = _find(context.fleet.hosts[observer], name)
    assert [record.state for record in found] == [state], found


@then('spread host {name} is suspect somewhere')
def check_suspect(context: Any, name: str) -> None:
    """Make sure that the scenario has a suspicion to refute."""
    states = {
        record.state
        for host in context.fleet.hosts.values()
        for record in _find(host, name)
    }
    assert HostState.SUSPECT in states, states


@then('spread host {name} is placeable nowhere')
def check_not_placeable(context: Any, name: str) -> None:
    """Look for the host among the candidates."""
    for host in context.fleet.hosts.values():
        ids = [record.host_id for record in host.membership.placeable()]
        assert not any(found.startswith(f'{name}-') for found in ids), ids


@then('spread host {name} has incarnation {incarnation:d}')
def check_incarnation(context: Any, name: str, incarnation: int) -> None:
    """Tell whether the host ever had to refute."""
    own = context.fleet.hosts[name].membership.own
    assert own.incarnation == incarnation, own


@then('the spread host list names {name}')
def check_listed(context: Any, name: str) -> None:
    """Look for the host's own entry."""
    own = context.fleet.hosts[name].membership.own
    assert own.host_id in context.fleet.around.platform.hosts


@then('{share:d}% of the spread hosts see term {term:d}')
def check_share(context: Any, share: int, term: int) -> None:
    """Compare the share reached with the least expected one."""
    reached = _share(context.fleet, term)
    assert reached >= share / 100, reached


@then('each spread host treats {name} as {verdict}')
def check_target(context: Any, name: str, verdict: str) -> None:
    """Ask all hosts for a target."""
    for host in context.fleet.hosts.values():
        assert host.leaving.is_leaving(name) == (verdict == 'leaving')


@then('no spread probe exceeds {limit_bytes:d} bytes')
def check_size(context: Any, limit_bytes: int) -> None:
    """Compare the largest probe."""
    largest = context.fleet.around.network.largest_bytes['probe']
    assert limit_bytes / 2 < largest <= limit_bytes, largest


@then('spread probes carry no changes')
def check_silent(context: Any) -> None:
    """Compose a probe at each host."""
    for host in context.fleet.hosts.values():
        assert not host.gossip.compose()['changes']


@then('spread records merged in any order give the same state')
def check_merge_order(context: Any) -> None:
    """Merge the same reports in two orders."""
    _check_merge_order()


_RECORDS = st.lists(
    st.builds(
        build_host,
        st.sampled_from(('a', 'b')),
        st.just('centre-1'),
        # An unknown dead host is not recorded, so deaths are left out.
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


@then("spread placement moves only the departed host's members")
def check_moves(context: Any) -> None:
    """Remove one host and compare all owners."""
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


@then('spread placement gives 8 hosts between 25 and 80 of 400 members')
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
    """Keeps decisions."""

    def __init__(self) -> None:
        """Start empty."""
        self.lines: list[tuple[str, str]] = []

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Keep one line."""
        assert figures
        self.lines.append((decision, reason))


@given('a spread decision log')
def build_log(context: Any) -> None:
    """Record the decisions of a membership and a placement."""
    context.log = _RecordingLog()
    own = build_host('own', 'centre-2')
    context.membership = Membership(own, ManualClock(), context.log, 1)
    context.placement = Placement(context.membership, context.log)


@when('the spread owner of a member is asked for twice and then dies')
def lose_owner(context: Any) -> None:
    """Ask before and after the owner's death."""
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


@then('the spread decision log holds')
def check_log(context: Any) -> None:
    """Compare all lines."""
    expected = [(row['decision'], row['evidence']) for row in context.table]
    assert context.log.lines == expected, context.log.lines


@given('spread hosts "{text}"')
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


@then('the spread owner of a member in centre-1 is {expected}')
def check_owner(context: Any, expected: str) -> None:
    """Compare the owner."""
    owner = context.placement.owner_of(build_member('forge-a-1'))
    found = 'none' if owner is None else owner.host_id
    assert found == expected, found
