"""Steps of draining.feature that run fakes on virtual time."""

import asyncio
from typing import Any, Final

from behave import given, then, when

from features.builders import gather_all
from features.draining_entry import HandoverEntry
from features.terms_world import GROUP, World
from mimosapond.completed import Completed
from mimosapond.durability import Durability
from mimosapond.refused import Refused
from mimosapond.standing import PRIMARY_ROLE

_WATCH_S: Final = 1.0
_MS_PER_S: Final = 1000


@given('draining terms with a write that only the primary "{member}" holds')
def write_at_primary_only(context: Any, member: str) -> None:
    """Stop the replication before an acknowledged write."""
    world = _start_terms(context, member)
    world.cut_members.add(member)
    outcome = world.run(world.write('h1', 'only', Durability.PRIMARY))
    assert isinstance(outcome, Completed), outcome


@given('draining terms with members "{member}" and "{other}" {logs}')
def start_equal_members(
    context: Any,
    member: str,
    other: str,
    logs: str,
) -> None:
    """Let both members hold the same log, or one a newer one."""
    world = _start_terms(context, 'm1')
    world.wait(_WATCH_S)
    if logs == f'of which {other} is newer':
        world.cut_members.add(member)
        outcome = world.run(world.write('h1', 'newer'))
        assert isinstance(outcome, Completed), outcome


@given('draining terms know that "{member}" is leaving')
def mark_in_terms(context: Any, member: str) -> None:
    """Mark a fake member."""
    context.world.leaving.merge((member,))


@when(
    'draining host "{host}" acquires a term for "{member}" while "{primary}" is {state}'
)
def acquire_for(
    context: Any,
    host: str,
    member: str,
    primary: str,
    state: str,
) -> None:
    """Make a planned change."""
    world = context.world
    if state == 'silent':
        world.members[primary].cut_hosts.add(host)
    world.run(world.hosts[host].acquirer.acquire(GROUP, keep=member))


@when('draining primary "{primary}" fails and host "{host}" promotes')
def promote_newest(context: Any, primary: str, host: str) -> None:
    """Promote without a member to keep."""
    world = context.world
    world.cut(primary)
    world.run(world.hosts[host].acquirer.acquire(GROUP, keep=None))


@when('draining host "{host}" acquires terms for "{one}" and "{other}" at once')
def acquire_twice(context: Any, host: str, one: str, other: str) -> None:
    """Make two planned changes from one host while the platform is slow."""
    world = context.world
    world.platform.delay_s = _WATCH_S
    acquirer = world.hosts[host].acquirer
    world.run(
        gather_all(
            acquirer.acquire(GROUP, keep=one),
            acquirer.acquire(GROUP, keep=other),
        ),
    )


@then('draining terms have one primary at each term')
def check_one_primary(context: Any) -> None:
    """Look at all members that lead."""
    terms = [
        member.term
        for member in context.world.members.values()
        if member.role == PRIMARY_ROLE
    ]
    assert max(terms) > context.first_term, terms
    assert len(terms) == len(set(terms)), terms


@then('draining terms have the primary "{member}" at a {term} term')
def check_terms(context: Any, member: str, term: str) -> None:
    """Look at the primary of the highest term."""
    primary = context.world.primary()
    assert primary.name == member, primary.name
    is_same = primary.term == context.first_term
    assert is_same == (term == 'same'), primary.term


@then('draining terms answer a write with "{result}"')
def check_terms_write(context: Any, result: str) -> None:
    """Write at the holder."""
    host = next(
        host_id
        for host_id, one in context.world.hosts.items()
        if one.holder is not None
    )
    outcome = context.world.run(context.world.write(host, result))
    reason = outcome.reason if isinstance(outcome, Refused) else ''
    assert result in {outcome.outcome, reason}, outcome


@when('draining terms replicate and keepers run for {duration_s:d} s')
def run_keepers(context: Any, duration_s: int) -> None:
    """Let the members that are left catch up."""
    world = context.world
    world.cut_members.discard('m2')
    world.spread_views()
    world.keep()
    world.wait(duration_s)


@when(
    'draining entry host sends {count:d} writes that meet a handover to a holder that serves after {delay_ms:d} ms'
)
def send_writes(context: Any, count: int, delay_ms: int) -> None:
    """Run the writes to their outcomes."""
    entry = HandoverEntry(delay_ms / _MS_PER_S)
    context.outcomes = asyncio.run(entry.run(count))


@given('draining holder is changing the primary')
def block_holder(context: Any) -> None:
    """Stop writes as for a leaving primary."""
    holder = context.world.hosts['h1'].holder
    holder.gate.is_blocked = True


@given('draining holder is handing the term over')
def release_holder(context: Any) -> None:
    """Give the term up to a host that dies before it takes it."""
    holder = context.world.hosts['h1'].holder
    assert context.world.run(holder.release(_WATCH_S))


@when('draining write with a deadline of {limit_s:d} s waits for {wait_s:d} s')
def start_write(context: Any, limit_s: int, wait_s: int) -> None:
    """Start a write and let virtual time pass."""
    world = context.world
    context.waiting = world.start(
        world.write('h1', 'patient', deadline_ms=limit_s * _MS_PER_S),
    )
    world.wait(wait_s)


@when('draining writes at the holder go on')
def resume_writes(context: Any) -> None:
    """End the stop."""
    holder = context.world.hosts['h1'].holder
    holder.gate.is_blocked = False


@then('draining write that waited is completed')
def check_waited(context: Any) -> None:
    """Let it end."""
    context.world.wait(_WATCH_S)
    outcome = context.waiting.result()
    assert isinstance(outcome, Completed), outcome


@then('draining entry host completes all writes')
def check_writes(context: Any) -> None:
    """Look at all outcomes."""
    failed = [
        outcome
        for outcome in context.outcomes
        if not isinstance(outcome, Completed)
    ]
    assert not failed, (len(failed), failed[0])


def _start_terms(context: Any, member: str) -> World:
    world = World()
    context.add_cleanup(world.close)
    context.world = world
    assert world.lead('h1', member)
    world.spread_views()
    outcome = world.run(world.write('h1', 'warm-up'))
    assert isinstance(outcome, Completed), outcome
    context.first_term = world.primary().term
    return world
