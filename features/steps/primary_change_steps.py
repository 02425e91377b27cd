"""Steps of primary_change.feature."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when

from features.group_builders import (
    GROUP,
    build_configuration,
    build_record,
    build_route,
    build_world,
)
from features.group_fakes import FakeDialer
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.configuration import GroupLimits
from mimosapond.entry.reachability import Reachability
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.failover.claim_port import DutyClaim
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing.relay_port import NoRelays

_MS_PER_S = 1000
_BORROW_S = 0.5
_RESERVED_TOKEN = 5


def _listed(names: str) -> str:
    return '' if names == 'none' else names


@given('a group whose primary is p')
def build_group(context: Any) -> None:
    """Build the group."""
    context.world = build_world()


@given('a group whose primary is a member that this host does not know')
def build_without_primary(context: Any) -> None:
    """Let all known members be replicas."""
    build_group(context)
    context.world.fakes['p'].is_primary = False
    context.world.fakes['b'].position = LogPosition(1, 11)


@given('the members {names} are silent')
def silence(context: Any, names: str) -> None:
    """Let members answer nothing."""
    for name in filter(None, _listed(names).split(',')):
        context.world.fakes[name].is_silent = True


@given('member {name} has received up to {position}')
def set_position(context: Any, name: str, position: str) -> None:
    """Set the end of a member's log."""
    term, _, number = position.partition('.')
    fake = context.world.fakes[name]
    fake.position = LogPosition(int(term), int(number))


@given('member {name} does not answer question {number:d}')
def miss_question(context: Any, name: str, number: int) -> None:
    """Let one control question get no answer."""
    context.world.fakes[name].unanswered_requests.add(number)


@given('new connections to the members {names} time out after {limit_ms:d} ms')
def time_out(context: Any, names: str, limit_ms: int) -> None:
    """Let members be out of reach, as behind a partition."""
    for name in names.split(','):
        context.world.fakes[name].is_silent = True
        context.world.fakes[name].connect_delay_s = limit_ms / _MS_PER_S


@given('requests hang on all connections to {name}')
def hang_requests(context: Any, name: str) -> None:
    """Take all connections that this host may open, with a request on each."""
    context.hanging = name


@given('the host cannot connect to {names}')
def miss_members(context: Any, names: str) -> None:
    """Let the last attempts to connect have failed."""
    members = context.world.group.members
    for name in filter(None, _listed(names).split(',')):
        members[name].load.is_unreachable = True


@when('the balancer is told {answers}')
def tell_balancer(context: Any, answers: str) -> None:
    """Answer its question some times."""
    context.rotation = RotationTracker(boot_time_s)
    for answer in answers.split(', '):
        is_ready = answer == 'ready'
        context.rotation.update_readiness(is_ready=is_ready)
        context.rotation.record_answer(is_ready=is_ready)


@then('the host is in rotation')
def check_in(context: Any) -> None:
    """New callers still come."""
    assert not context.rotation.is_out_of_rotation


@then('the host is out of rotation')
def check_out(context: Any) -> None:
    """New callers go elsewhere."""
    assert context.rotation.is_out_of_rotation


@given('member a was promoted without this host seeing it')
def promote_unseen(context: Any) -> None:
    """Let the host go on believing in the former primary."""
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
    """Let all calls end without an answer."""
    context.world.promotions.is_silent = True


@given('member p accepts no more connections')
def fill_member(context: Any) -> None:
    """Refuse new connections."""
    context.world.fakes['p'].is_full = True


@when('a host replaces the lost primary')
def replace_lost(context: Any) -> None:
    """Try to replace it once."""
    asyncio.run(context.world.failover.replace_lost(context.world.group))


@when('the leaving primary hands over')
def hand_over(context: Any) -> None:
    """Try to hand over once."""
    _change_from_p(context, context.world.failover.hand_over)


def _change_from_p(context: Any, change: Callable[..., Any]) -> None:
    group = context.world.group
    asyncio.run(change(group, group.members['p']))


@when('the watch of the group runs for {duration_ms:d} ms')
def watch(context: Any, duration_ms: int) -> None:
    """Run the watch as the daemon does."""
    hanging = getattr(context, 'hanging', '')
    asyncio.run(_watch(context.world, duration_ms / _MS_PER_S, hanging))


async def _hang(world: Any, name: str) -> None:
    """Use up the pool of a member that proved its lead and then fell silent."""
    member = world.group.members[name]
    fake = world.fakes[name]
    fake.is_silent = False
    await world.probe.ask(world.group, member)
    for _ in range(member.pool.limit_count):
        connection = await member.pool.borrow(1, _BORROW_S)
        member.load.start(is_write=False)
        assert isinstance(connection, ConnectionLease), connection
    fake.is_silent = True


async def _watch(world: Any, duration_s: float, hanging: str) -> None:
    if hanging:
        await _hang(world, hanging)
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
    """Reserve while the store answers, claim when it does not."""
    context.claim = asyncio.run(_claim_reserved(context.world.claims))


async def _claim_reserved(store: Any) -> Any:
    claims = ReservedTokenClaims(store, boot_time_s)
    task = asyncio.create_task(claims.run())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    store.fall_silent()
    outcome = await claims.claim('orders')
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return outcome


@then('the promoted member is {name}')
def check_promoted(context: Any, name: str) -> None:
    """Compare with the calls of the platform."""
    calls = context.world.promotions.calls
    named = {member_id for member_id, _ in calls if member_id != 'p'}
    assert ','.join(named) == _listed(name), calls


@then('member p was paused before the promotion')
def check_paused(context: Any) -> None:
    """Check that it could not acknowledge any more.

    The promotion ends the pause, so the pauses are counted.
    """
    assert context.world.fakes['p'].pause_count == 1


@then('the claim was not asked for')
def check_unclaimed(context: Any) -> None:
    """Check that other hosts are not kept from acting."""
    assert not context.world.claims.claim_count


@then('replica b was paused and is {state}')
def check_paused_before(context: Any, state: str) -> None:
    """Check that a pause was made, and whether it has ended."""
    assert context.world.fakes['b'].pause_count
    check_state(context, state)


@then('replica b is {state}')
def check_state(context: Any, state: str) -> None:
    """Check whether it receives."""
    is_paused = context.world.fakes['b'].paused_term > 0
    assert is_paused == (state == 'paused'), is_paused


@then('the promotion calls are {names}')
def check_calls(context: Any, names: str) -> None:
    """Compare the members named."""
    called = [name for name, _ in context.world.promotions.calls]
    assert ','.join(called) == _listed(names), called


@then('the claim is still held')
def check_held(context: Any) -> None:
    """Check that nobody else may act yet."""
    assert not context.world.claims.is_released


@then('a replica leads')
def check_leads(context: Any) -> None:
    """Check the new primary."""
    fakes = context.world.fakes
    assert fakes['a'].is_primary or fakes['b'].is_primary


@then('the claim has the reserved token')
def check_reserved(context: Any) -> None:
    """Compare the claim."""
    assert isinstance(context.claim, DutyClaim)
    assert context.claim.token == _RESERVED_TOKEN


@when('a host replaces the stalled primary')
def replace_stalled(context: Any) -> None:
    """Try to replace it once."""
    _change_from_p(context, context.world.failover.replace_stalled)


@then('member p leads: {answer}')
def check_still(context: Any, answer: str) -> None:
    """Check whether the former primary was deposed."""
    assert context.world.fakes['p'].is_primary == (answer == 'yes')


@given('the former primary was proven at {position}')
def prove_former(context: Any, position: str) -> None:
    """Note a proof of leadership of p."""
    term, _, number = position.partition('.')
    group = context.world.group
    group.confirm_primary(
        group.members['p'], boot_time_s(), LogPosition(int(term), int(number))
    )


@given('member a leads with its log at {position}')
def let_lead(context: Any, position: str) -> None:
    """Let the platform have promoted a replica."""
    set_position(context, 'a', position)
    context.world.fakes['a'].is_primary = True
    context.world.fakes['p'].is_primary = False


@then('the host knows member a as the primary')
def check_known(context: Any) -> None:
    """Compare the primary."""
    primary = context.world.group.primary
    assert primary is not None and primary.member_id == 'a'


@then('reads wait for {position}')
def check_waits(context: Any, position: str) -> None:
    """Compare the lowest position that covers the last second."""
    observations = context.world.group.observations
    covering = observations.covering(boot_time_s() - 1)
    assert str(covering) == position, covering


@then('nobody was paused')
def check_nobody_paused(context: Any) -> None:
    """Check the pauses of all members."""
    counts = [fake.pause_count for fake in context.world.fakes.values()]
    assert not any(counts), counts


@given('members a and b are paused')
def pause_replicas(context: Any) -> None:
    """Let an earlier holder have paused them."""
    for name in ('a', 'b'):
        context.world.fakes[name].paused_term = 2


@then('nobody is paused')
def check_none_paused(context: Any) -> None:
    """Check that all that live receive."""
    paused = [
        fake.member_id
        for fake in context.world.fakes.values()
        if fake.paused_term > 0
    ]
    assert not paused, paused


@given('member a announced {age_s:d} s ago that it leaves')
def announce(context: Any, age_s: int) -> None:
    """Let the host have learned it then."""
    member = context.world.group.members['a']
    member.leaving_since_s = boot_time_s() - age_s


@given('member a is {listing}')
def unlist(context: Any, listing: str) -> None:
    """Remove its registration, or leave it."""
    if listing == 'unlisted':
        member = context.world.group.members['a']
        member.unlisted_since_s = boot_time_s()
        context.world.registrations.names.remove('a')


@given('the registry {answers}')
def set_registry(context: Any, answers: str) -> None:
    """Let the last question have been answered or not."""
    context.world.directory.is_current = answers == 'answers'


@given('the primary was last proven {age_ms:d} ms ago')
def prove_earlier(context: Any, age_ms: int) -> None:
    """Note a proof of that age."""
    group = context.world.group
    asked_s = boot_time_s() - age_ms / _MS_PER_S
    group.primary_confirmed_s = asked_s
    group.confirm_primary(group.members['p'], asked_s, LogPosition(1, 10))


@then('the host is {state}')
def check_ready(context: Any, state: str) -> None:
    """Ask as the balancer does."""
    reach = Reachability(context.world.directory, boot_time_s)
    assert reach.is_sufficient() == (state == 'ready')


@given('reads of the registry {outcome}')
def read_registry(context: Any, outcome: str) -> None:
    """Let the last read have failed or not."""
    if outcome == 'failed':
        context.world.directory.record_registry_outage()


@given('a group whose members accept {count:d} connections')
def accept_connections(context: Any, count: int) -> None:
    """Set the limit of the members."""
    context.now_s = 0
    context.directory = GroupDirectory(FakeDialer({}), lambda: context.now_s)
    route = build_route()
    configuration = attrs.evolve(
        build_configuration(route),
        groups={GROUP: GroupLimits(GROUP, count)},
    )
    context.directory.apply_limits(configuration)


@given('the host started {age_s:d} s ago')
def age_host(context: Any, age_s: int) -> None:
    """Move the clock."""
    context.now_s = age_s


@when('the registry lists all members')
def list_all(context: Any) -> None:
    """Read the registrations."""
    context.directory.apply_registrations([build_record('a')])


@then('the host may open {share:d} connections to each')
def check_share(context: Any, share: int) -> None:
    """Compare the limit of the pool."""
    member = context.directory.get_or_create(GROUP).members['a']
    assert member.pool.limit_count == share, member.pool.limit_count


@when('the registry lists nobody')
def list_nobody(context: Any) -> None:
    """Read an empty registry."""
    context.world.directory.apply_registrations(())


@then('member a {use} new work')
def check_use(context: Any, use: str) -> None:
    """Compare."""
    member = context.world.group.members['a']
    assert member.takes_new_work == (use == 'gets'), use
