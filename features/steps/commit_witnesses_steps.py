"""Steps of commit_witnesses.feature."""

import math
from typing import Any, Final

import attrs
from behave import given

from features.group_fakes import FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.log_position import LogPosition

_MS_PER_S: Final = 1000
_COMMITTED: Final = LogPosition(1, 20)
# Longer than a leaving member drains.
_LEAVING_AGE_S: Final = 8


@given('its members acknowledge a commit once a replica has it')
def require_replica(context: Any) -> None:
    """Set what the configuration says about the group."""
    context.world.group.needs_replica = True


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
    words = state.split(' ')
    match words:
        case ['silent']:
            fake.is_silent = True
        case ['leaving']:
            member.record = attrs.evolve(member.record, is_leaving=True)
        case ['unlisted']:
            member.unlisted_since_s = boot_time_s()
        case ['registered', age_s, *_]:
            member.listed_since_s = boot_time_s() - float(age_s)
        case ['late', 'by', delay_ms, _]:
            fake.position = LogPosition(1, 10)
            context.loop.call_later(
                float(delay_ms) / _MS_PER_S,
                setattr,
                fake,
                'position',
                _COMMITTED,
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
