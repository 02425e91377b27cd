"""Steps of primary_change.feature."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import attrs
from behave import given, step, then, when

from features.group_builders import (
    GROUP,
    build_configuration,
    build_record,
    build_route,
    build_world,
    parse_position,
)
from features.group_fakes import FakeDialer, FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.configuration import GroupLimits
from mimosapond.entry.reachability import Reachability
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.failover.claim_port import DutyClaim
from mimosapond.failover.lead_record import LeadRecording
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing.relay_port import NoRelays

_MS_PER_S = 1000
_BORROW_TIMEOUT_S = 0.5
_RESERVED_TOKEN = 5


def _empty_if_none(names: str) -> str:
    return '' if names == 'none' else names


@given('a group whose primary is p')
def build_group(context: Any) -> None:
    """Build a group with the primary p."""
    context.world = build_world()


@given('a group whose primary is a member that this host does not know')
def build_without_primary(context: Any) -> None:
    """Build a group whose known members are all replicas."""
    build_group(context)
    context.world.fakes['p'].is_primary = False
    context.world.fakes['b'].position = LogPosition(1, 11)


@step('the members {names} are silent')
def make_silent(context: Any, names: str) -> None:
    """Make members answer no request."""
    for name in filter(None, _empty_if_none(names).split(',')):
        context.world.fakes[name].is_silent = True


@given('member {name} has received up to {position}')
def set_position(context: Any, name: str, position: str) -> None:
    """Set the last position in the log of a member."""
    context.world.fakes[name].position = parse_position(position)


@given('member p is in term {term:d}, up to {position}')
def set_term(context: Any, term: int, position: str) -> None:
    """Set the position of p, and a term of which it may have no commit."""
    set_position(context, 'p', position)
    context.world.fakes['p'].empty_term = term


@given('member {name} does not answer control request {number:d}')
def skip_control_answer(context: Any, name: str, number: int) -> None:
    """Make one control request get no answer."""
    context.world.fakes[name].unanswered_requests.add(number)


@given('new connections to the members {names} time out after {limit_ms:d} ms')
def delay_connections(context: Any, names: str, limit_ms: int) -> None:
    """Make members unreachable, as behind a network partition."""
    for name in names.split(','):
        context.world.fakes[name].is_silent = True
        context.world.fakes[name].connect_delay_s = limit_ms / _MS_PER_S


@given('requests hang on all connections to {name}')
def hang_requests(context: Any, name: str) -> None:
    """Use all connections that this host may open, with a request on each."""
    context.exhausted_member = name


@given('the host cannot connect to {names}')
def mark_unreachable(context: Any, names: str) -> None:
    """Record that the last attempts to connect failed."""
    members = context.world.group.members
    for name in filter(None, _empty_if_none(names).split(',')):
        members[name].load.is_unreachable = True


@when('the load balancer is answered {answers}')
def answer_balancer(context: Any, answers: str) -> None:
    """Record the answers to a series of readiness checks."""
    context.rotation = RotationTracker(boot_time_s)
    for answer in answers.split(', '):
        is_ready = answer == 'ready'
        context.rotation.update_readiness(is_ready=is_ready)
        context.rotation.record_answer(is_ready=is_ready)


@then('the host is in rotation')
def check_in_rotation(context: Any) -> None:
    """Check that new callers are sent to the host."""
    assert not context.rotation.is_out_of_rotation


@then('the host is out of rotation')
def check_out_of_rotation(context: Any) -> None:
    """Check that new callers are sent to other hosts."""
    assert context.rotation.is_out_of_rotation


@given('member a was promoted and this host does not know it')
def promote_unknown_to_host(context: Any) -> None:
    """Promote a while the host still considers p the primary."""
    fakes = context.world.fakes
    member = context.world.group.members['p']
    context.world.group.confirm_primary(
        member, boot_time_s(), LogPosition(1, 10)
    )
    fakes['p'].is_primary = False
    fakes['a'].is_primary = True
    for name in ('a', 'b', 'p'):
        fakes[name].position = LogPosition(2, 11)
    fakes['b'].position = LogPosition(2, 12)


@given('the platform does not answer promotions')
def silence_promotions(context: Any) -> None:
    """Make all promotion calls end without an answer."""
    context.world.promotions.is_silent = True


@given('member p accepts no more connections')
def fill_member(context: Any) -> None:
    """Make p refuse new connections."""
    context.world.fakes['p'].is_full = True


@when('a host replaces the lost primary')
def replace_lost(context: Any) -> None:
    """Attempt the replacement once."""
    asyncio.run(
        context.world.failover.replace_lost_primary(context.world.group)
    )


@when('the leaving primary hands over')
def hand_over(context: Any) -> None:
    """Attempt the hand-over once."""
    _change_from_p(context, context.world.failover.hand_over)


def _change_from_p(context: Any, change: Callable[..., Any]) -> None:
    group = context.world.group
    asyncio.run(change(group, group.members['p']))


@when('the primary monitor runs for {duration_ms:d} ms')
def run_monitor(context: Any, duration_ms: int) -> None:
    """Run the monitor in a task of its own, as the daemon does."""
    exhausted_member = getattr(context, 'exhausted_member', '')
    asyncio.run(
        _run_monitor(context.world, duration_ms / _MS_PER_S, exhausted_member)
    )


async def _exhaust_pool(world: Any, name: str) -> None:
    """Exhaust the pool of a confirmed primary, and make the primary silent."""
    member = world.group.members[name]
    fake = world.fakes[name]
    fake.is_silent = False
    await world.probe.ask(world.group, member)
    for _ in range(member.pool.limit_count):
        connection = await member.pool.borrow(1, _BORROW_TIMEOUT_S)
        member.load.start(is_write=False)
        assert isinstance(connection, ConnectionLease), connection
    fake.is_silent = True


async def _run_monitor(
    world: Any, duration_s: float, exhausted_member: str
) -> None:
    if exhausted_member:
        await _exhaust_pool(world, exhausted_member)
    task = asyncio.create_task(
        PrimaryMonitor(
            world.group,
            world.probe,
            world.failover,
            NoRelays(),
            boot_time_s,
        ).run()
    )
    await asyncio.sleep(duration_s)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@when('the store is down and a host claims with a reserved token')
def claim_reserved(context: Any) -> None:
    """Reserve a token while the store answers, and claim when it does not."""
    context.claim = asyncio.run(_claim_reserved(context.world.claims))


async def _claim_reserved(store: Any) -> Any:
    claims = ReservedTokenClaims(store, boot_time_s, lambda: True)
    task = asyncio.create_task(claims.run())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    store.stop_answering()
    outcome = await claims.claim('orders')
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return outcome


@then('it is not known whether requests to resume are recorded')
def check_unrecorded(context: Any) -> None:
    """Record requests under the claim; unrecorded ones are sent as well."""
    claims = ReservedTokenClaims(
        context.world.claims, boot_time_s, lambda: True
    )
    recording = asyncio.run(
        claims.record_resumes('orders', context.claim, frozenset())
    )
    assert recording is LeadRecording.unknown, recording


@then('the promoted member is {name}')
def check_promoted(context: Any, name: str) -> None:
    """Compare the members in the promotion calls, other than p."""
    calls = context.world.promotions.calls
    promoted = {member_id for member_id, _ in calls if member_id != 'p'}
    assert ','.join(promoted) == _empty_if_none(name), calls


@then('member p was paused before the promotion')
def check_paused(context: Any) -> None:
    """Check that p was paused and could not acknowledge further commits.

    The number of pauses is checked, as the pause ends after the promotion.
    """
    assert context.world.fakes['p'].pause_count == 1


@then('no claim was requested')
def check_no_claim(context: Any) -> None:
    """Check that this host did not keep other hosts from a claim."""
    assert not context.world.claims.claim_count


@then('replica b was paused and is {state}')
def check_paused_before(context: Any, state: str) -> None:
    """Check that b was paused, and whether the pause has ended."""
    assert context.world.fakes['b'].pause_count
    check_state(context, state)


@then('replica b is {state}')
def check_state(context: Any, state: str) -> None:
    """Check whether b is paused or receives."""
    is_paused = context.world.fakes['b'].paused_term > 0
    assert is_paused == (state == 'paused'), is_paused


@then('the promotion calls name {names}')
def check_calls(context: Any, names: str) -> None:
    """Compare the members in the promotion calls and their order."""
    called = [name for name, _ in context.world.promotions.calls]
    assert ','.join(called) == _empty_if_none(names), called


@then('the claim is still held')
def check_held(context: Any) -> None:
    """Check that the claim was not released."""
    assert not context.world.claims.is_released


@then('a replica is the primary')
def check_replica_promoted(context: Any) -> None:
    """Check that a or b was promoted."""
    fakes = context.world.fakes
    assert fakes['a'].is_primary or fakes['b'].is_primary


@then('the claim has the reserved token')
def check_reserved(context: Any) -> None:
    """Check that the claim was granted with the reserved token."""
    assert isinstance(context.claim, DutyClaim)
    assert context.claim.token == _RESERVED_TOKEN


@when('a host replaces the stalled primary')
def replace_stalled(context: Any) -> None:
    """Attempt the replacement once."""
    _change_from_p(context, context.world.failover.replace_stalled_primary)


@then('member p is the primary: {answer}')
def check_still_primary(context: Any, answer: str) -> None:
    """Check whether p is still the primary."""
    assert context.world.fakes['p'].is_primary == (answer == 'yes')


@given('the former primary was confirmed at {position}')
def confirm_former_primary(context: Any, position: str) -> None:
    """Record that p was the primary at a log position."""
    group = context.world.group
    group.confirm_primary(
        group.members['p'], boot_time_s(), parse_position(position)
    )


@given('member a leads with its log at {position}')
def make_primary(context: Any, position: str) -> None:
    """Make a the primary instead of p, without a promotion call."""
    set_position(context, 'a', position)
    context.world.fakes['a'].is_primary = True
    context.world.fakes['p'].is_primary = False


@then('the host knows member a as the primary')
def check_known_primary(context: Any) -> None:
    """Check that the host considers a the primary."""
    primary = context.world.group.primary
    assert primary is not None and primary.member_id == 'a'


@then('reads wait for {position}')
def check_wait_position(context: Any, position: str) -> None:
    """Compare the position that a read of the last second waits for."""
    observations = context.world.group.observations
    covering = observations.covering_position(boot_time_s() - 1)
    assert str(covering) == position, covering


@then('no member was paused')
def check_nobody_paused(context: Any) -> None:
    """Check that no member was ever paused."""
    counts = [fake.pause_count for fake in context.world.fakes.values()]
    assert not any(counts), counts


@given('members a and b are paused')
def pause_replicas(context: Any) -> None:
    """Pause a and b, as an earlier holder of the claim would."""
    for name in ('a', 'b'):
        context.world.fakes[name].paused_term = 2


@then('no member is paused')
def check_none_paused(context: Any) -> None:
    """Check that no member is paused now."""
    paused = [
        fake.member_id
        for fake in context.world.fakes.values()
        if fake.paused_term > 0
    ]
    assert not paused, paused


@given('member a announced {age_s:d} s ago that it leaves')
def announce(context: Any, age_s: int) -> None:
    """Set the time at which a announced that it leaves."""
    member = context.world.group.members['a']
    member.leaving_since_s = boot_time_s() - age_s


@given('member a is {listing}')
def set_listing(context: Any, listing: str) -> None:
    """Remove the registration of a if it is to be unlisted."""
    if listing.startswith('unlisted for '):
        unlisted_s = float(listing.split(' ')[2])
        member = context.world.group.members['a']
        member.unlisted_since_s = boot_time_s() - unlisted_s
        context.world.registrations.names.remove('a')


@given('no successor of a can be read')
def keep_registrations(context: Any) -> None:
    """Leave the registrations without a successor of a."""
    assert 'a' not in context.world.registrations.names


@given('the successor of a is listed and is ahead')
def list_successor(context: Any) -> None:
    """Register a member with a commit that replica b lacks."""
    world = context.world
    world.fakes['d'] = FakeMember('d', position=LogPosition(1, 12))
    world.fakes['b'].position = LogPosition(1, 11)
    world.registrations.names.append('d')


@given('the registry {answers}')
def set_registry(context: Any, answers: str) -> None:
    """Set whether the last read of the registry was answered."""
    context.world.directory.is_current = answers == 'answers'


@given('the primary was last confirmed {age_ms:d} ms ago')
def confirm_earlier(context: Any, age_ms: int) -> None:
    """Record a confirmation of p as the primary of that age."""
    group = context.world.group
    asked_s = boot_time_s() - age_ms / _MS_PER_S
    group.primary_confirmed_s = asked_s
    group.confirm_primary(group.members['p'], asked_s, LogPosition(1, 10))


@then('the host is {state}')
def check_ready(context: Any, state: str) -> None:
    """Check readiness as the load balancer does."""
    reach = Reachability(context.world.directory, boot_time_s)
    assert reach.is_sufficient() == (state == 'ready')


@given('reads of the registry {outcome}')
def read_registry(context: Any, outcome: str) -> None:
    """Record an outage of the registry if its reads failed."""
    if outcome == 'failed':
        context.world.directory.record_registry_outage()


@given('a group whose members accept {count:d} connections')
def accept_connections(context: Any, count: int) -> None:
    """Set the connection limit of the members."""
    context.now_s = 0
    context.directory = GroupDirectory(FakeDialer({}), lambda: context.now_s)
    route = build_route()
    configuration = attrs.evolve(
        build_configuration(route),
        groups={GROUP: GroupLimits(GROUP, count)},
    )
    context.directory.apply_limits(configuration)


@given('the host started {age_s:d} s ago')
def set_host_age(context: Any, age_s: int) -> None:
    """Advance the clock by the age of the host."""
    context.now_s = age_s


@when('the registry lists all members')
def list_all(context: Any) -> None:
    """Apply the registration of a member."""
    context.directory.apply_registrations([build_record('a')])


@then('the host may open {share:d} connections to each')
def check_share(context: Any, share: int) -> None:
    """Compare the limit of the connection pool."""
    member = context.directory.get_or_create(GROUP).members['a']
    assert member.pool.limit_count == share, member.pool.limit_count


@when('the registry lists no members')
def list_nobody(context: Any) -> None:
    """Apply an empty list of registrations."""
    context.world.directory.apply_registrations(())


@then('member a {use} new work')
def check_use(context: Any, use: str) -> None:
    """Check whether a takes new work."""
    member = context.world.group.members['a']
    assert member.accepts_new_work == (use == 'gets'), use
