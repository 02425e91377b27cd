"""Steps of commit_witnesses.feature."""

import math
from typing import Any, Final

import attrs
from behave import given, then

from features.group_builders import (
    build_configuration,
    build_record,
    build_route,
    parse_position,
)
from features.group_fakes import FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess

_MS_PER_S: Final = 1000
_COMMITTED: Final = LogPosition(1, 20)
# First commit of the next term, which began before the commit of p.
_FIRST_OF_NEWER_TERM: Final = LogPosition(2, 20)
# Longer than a leaving member drains.
_LEAVING_AGE_S: Final = 8
_BORN_AGAIN_MS: Final = 5


@given('its members acknowledge a commit once a replica has it')
def require_replica(context: Any) -> None:
    """Set what the configuration says about the group."""
    context.world.group.needs_replica = True


@given('its statements may take {timeout_ms:d} ms')
def set_timeout(context: Any, timeout_ms: int) -> None:
    """Let a busy machine delay the test without passing the deadline.

    With 400 ms, two of about 45 runs beside 20 busy processes ended as unknown.
    """
    route = build_route(timeout_ms=timeout_ms)
    active = context.world.services.configuration
    active.activate(build_configuration(route, version=2))


@given(
    'the commits of p reach replica a, which is {first}, and replica b, '
    'which is {second}',
)
def replicate(context: Any, first: str, second: str) -> None:
    """Set the state of both replicas and the position of the primary."""
    context.world.fakes['p'].position = _COMMITTED
    _set_state(context, 'a', first)
    _set_state(context, 'b', second)


def _set_state(context: Any, name: str, state: str) -> None:
    fake = context.world.fakes[name]
    member = context.world.group.members[name]
    fake.position = LogPosition(1, 10) if state == 'behind' else _COMMITTED
    fake.is_silent = state == 'silent'
    match state.split(' '):
        case ['late', 'to', 'apply']:
            fake.position = LogPosition(1, 10)
            fake.received = _COMMITTED
        case ['in', 'a', 'newer', 'term']:
            fake.position = _FIRST_OF_NEWER_TERM
        case ['leaving' | 'unlisted' as listing]:
            _set_listing(member, listing)
        case ['not', 'recorded']:
            _withdraw_witness(context, member.record.process)
        case ['started', 'again']:
            member.record = attrs.evolve(member.record, born_ms=_BORN_AGAIN_MS)
        case ['reconnected']:
            member.load.identity.record_loss(boot_time_s())
        case ['late', 'by', delay_ms, _]:
            fake.position = LogPosition(1, 10)
            context.loop.call_later(
                float(delay_ms) / _MS_PER_S,
                setattr,
                fake,
                'position',
                _COMMITTED,
            )


def _set_listing(member: Member, listing: str) -> None:
    if listing == 'leaving':
        member.record = attrs.evolve(member.record, is_leaving=True)
    else:
        member.unlisted_since_s = boot_time_s()


def _withdraw_witness(context: Any, process: MemberProcess) -> None:
    """Take a process out of the record, as if it had joined just before."""
    group = context.world.group
    group.record = GroupRecord(witnesses=group.record.witnesses - {process})


@given('p is found at another address {delay_ms:d} ms later')
def move_primary(context: Any, delay_ms: int) -> None:
    """Apply a registration of p with another port during a statement."""
    records = [
        build_record('p', reports_primary=True, port=2),
        build_record('a'),
        build_record('b'),
    ]
    context.loop.call_later(
        delay_ms / _MS_PER_S,
        context.world.directory.apply_registrations,
        records,
    )


@given('the registrations were read {age_s:d} s ago and cannot be read now')
def age_registrations(context: Any, age_s: int) -> None:
    """Let the registry be silent since the last read."""
    directory = context.world.directory
    directory.record_registry_outage()
    directory.read_s = boot_time_s() - age_s
    context.world.registrations.is_silent = True


@given('p was seen to lead and {state}')
def lead_and_leave(context: Any, state: str) -> None:
    """Record p as the primary; it may have left since."""
    world = context.world
    members = world.group.members
    world.group.confirm_primary(members['p'], boot_time_s(), LogPosition(1, 10))
    if state == 'is still registered':
        return
    world.fakes['c'] = FakeMember('c')
    world.registrations.names = ['a', 'b', 'c']
    world.directory.registrations_complete_from_s = -math.inf
    world.fakes['p'].is_silent = True
    members['p'].leaving_since_s = boot_time_s() - _LEAVING_AGE_S
    members['p'].unlisted_since_s = boot_time_s()


@given('p was first seen to lead at {start} and has commits of term {term:d}')
def lead_from(context: Any, start: str, term: int) -> None:
    """Record where p began to lead."""
    member = context.world.group.members['p']
    context.world.group.confirm_primary(
        member, boot_time_s(), parse_position(start)
    )
    member.load.term = term


@given(
    'the replicas answered {contact_ms:d} ms ago and the registry '
    '{registry_s:d} s ago',
)
def set_contacts(context: Any, contact_ms: int, registry_s: int) -> None:
    """Set the ages of the last answers."""
    world = context.world
    world.directory.read_s = boot_time_s() - registry_s
    for name in ('a', 'b'):
        load = world.group.members[name].load
        load.last_contact_s = boot_time_s() - contact_ms / _MS_PER_S


@then('the replicas were asked')
def check_asked(context: Any) -> None:
    """Look for transactions that began, were refused, or control requests."""
    assert any(
        fake.control_request_count
        or fake.refusal_count
        or 'BEGIN' in fake.executed_statements
        for fake in _replicas(context)
    )


@then('slots of the replicas were {used}')
def check_slots(context: Any, used: str) -> None:
    """Count the control requests, each of which takes a slot."""
    count = sum(fake.control_request_count for fake in _replicas(context))
    assert (count > 0) == (used == 'used'), count


def _replicas(context: Any) -> list[FakeMember]:
    return [context.world.fakes[name] for name in ('a', 'b')]
