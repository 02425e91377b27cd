"""Steps of draining.feature that use fakes on virtual time."""

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

_WAIT_S: Final = 1.0
_MS_PER_S: Final = 1000


@given('draining terms with a write that only the primary "{member}" holds')
def write_at_primary_only(context: Any, member: str) -> None:
    """Acknowledge a write after the replication was stopped."""
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
    """Build two members with equal logs, or ``other`` with a newer log."""
    world = _start_terms(context, 'm1')
    world.wait(_WAIT_S)
    if logs == f'of which {other} is newer':
        world.cut_members.add(member)
        outcome = world.run(world.write('h1', 'newer'))
        assert isinstance(outcome, Completed), outcome


@given('draining terms know that "{member}" is leaving')
def mark_in_terms(context: Any, member: str) -> None:
    """Mark a member as leaving."""
    context.world.leaving.mark_leaving((member,))


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
    """Acquire a term to make ``member`` the primary."""
    world = context.world
    if state == 'silent':
        world.members[primary].cut_hosts.add(host)
    world.run(world.hosts[host].acquirer.acquire(GROUP, keep=member))


@when('draining primary "{primary}" fails and host "{host}" promotes')
def promote_newest(context: Any, primary: str, host: str) -> None:
    """Promote the newest member after the primary failed."""
    world = context.world
    world.cut(primary)
    world.run(world.hosts[host].acquirer.acquire(GROUP, keep=None))


@when('draining host "{host}" acquires terms for "{one}" and "{other}" at once')
def acquire_twice(context: Any, host: str, one: str, other: str) -> None:
    """Start two planned changes at one host while the platform is slow."""
    world = context.world
    world.platform.delay_s = _WAIT_S
    acquirer = world.hosts[host].acquirer
    world.run(
        gather_all(
            acquirer.acquire(GROUP, keep=one),
            acquirer.acquire(GROUP, keep=other),
        ),
    )


@then('draining terms have one primary at each term')
def check_one_primary(context: Any) -> None:
    """Check that no two members lead the same term."""
    terms = [
        member.term
        for member in context.world.members.values()
        if member.role == PRIMARY_ROLE
    ]
    assert max(terms) > context.first_term, terms
    assert len(terms) == len(set(terms)), terms


@then('draining terms have the primary "{member}" at a {term} term')
def check_terms(context: Any, member: str, term: str) -> None:
    """Check which member is the primary, and whether its term is newer."""
    primary = context.world.primary()
    assert primary.name == member, primary.name
    is_same = primary.term == context.first_term
    assert is_same == (term == 'same'), primary.term


@then('draining terms answer a write with "{result}"')
def check_terms_write(context: Any, result: str) -> None:
    """Write at the holder and check the outcome or the reason."""
    host = next(
        host_id
        for host_id, fake in context.world.hosts.items()
        if fake.holder is not None
    )
    outcome = context.world.run(context.world.write(host, result))
    reason = outcome.reason if isinstance(outcome, Refused) else ''
    assert result in {outcome.outcome, reason}, outcome


@when('draining terms replicate and keepers run for {duration_s:d} s')
def run_keepers(context: Any, duration_s: int) -> None:
    """Let member m2 catch up, and run the keepers of all hosts."""
    world = context.world
    world.cut_members.discard('m2')
    world.spread_views()
    world.run_keepers()
    world.wait(duration_s)


@when(
    'draining entry host sends {count:d} writes that meet a handover to a holder that serves after {delay_ms:d} ms'
)
def send_writes(context: Any, count: int, delay_ms: int) -> None:
    """Send the writes and wait for their outcomes."""
    entry = HandoverEntry(delay_ms / _MS_PER_S)
    context.outcomes = asyncio.run(entry.run(count))


@given('draining holder is changing the primary')
def block_holder(context: Any) -> None:
    """Block writes at the holder, as for a leaving primary."""
    holder = context.world.hosts['h1'].holder
    holder.gate.is_blocked = True


@given('draining holder is handing the term over')
def release_holder(context: Any) -> None:
    """Release the term to a host that fails before it takes over."""
    holder = context.world.hosts['h1'].holder
    assert context.world.run(holder.release(_WAIT_S))


@when('draining write with a deadline of {limit_s:d} s waits for {wait_s:d} s')
def start_write(context: Any, limit_s: int, wait_s: int) -> None:
    """Start a write and let ``wait_s`` of virtual time pass."""
    world = context.world
    context.waiting = world.start(
        world.write('h1', 'patient', deadline_ms=limit_s * _MS_PER_S),
    )
    world.wait(wait_s)


@when('draining writes at the holder go on')
def resume_writes(context: Any) -> None:
    """Unblock writes at the holder."""
    holder = context.world.hosts['h1'].holder
    holder.gate.is_blocked = False


@then('draining write that waited is completed')
def check_waited(context: Any) -> None:
    """Check that the waiting write was completed."""
    context.world.wait(_WAIT_S)
    outcome = context.waiting.result()
    assert isinstance(outcome, Completed), outcome


@then('draining entry host completes all writes')
def check_writes(context: Any) -> None:
    """Check that every write was completed."""
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
    assert world.acquire_term('h1', member)
    world.spread_views()
    outcome = world.run(world.write('h1', 'warm-up'))
    assert isinstance(outcome, Completed), outcome
    context.first_term = world.primary().term
    return world
