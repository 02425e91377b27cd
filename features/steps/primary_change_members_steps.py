"""Steps of primary_change.feature for members unknown to a host."""

from typing import Any, Final

from behave import given, then

from features.group_fakes import FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.group_record import GroupRecord

# Longer than a change waits for the registry.
_REGISTRY_DELAY_S: Final = 0.6
# Time until the registrations are considered complete.
_REGISTRATION_DELAY_S: Final = 2.0
# Time since member a announced that it leaves, longer than it drains.
_LEAVING_AGE_S: Final = 8


@given('member d replaced member a and is unknown to this host')
def replace_member(context: Any) -> None:
    """Make a leave and become unlisted, and register d instead."""
    world = context.world
    world.fakes['a'].is_silent = True
    world.fakes['d'] = FakeMember('d')
    member = world.group.members['a']
    member.leaving_since_s = boot_time_s() - _LEAVING_AGE_S
    member.unlisted_since_s = boot_time_s()
    world.registrations.names = ['p', 'b', 'd']


@given('the registry lists member d')
def list_member(context: Any) -> None:
    """Check that the next read of the registry will return d."""
    assert 'd' in context.world.registrations.names


@given('the registry falls silent')
def silence_registry(context: Any) -> None:
    """Make the next read fail; this host does not know of the outage."""
    context.world.registrations.is_silent = True


@given('the registry answers too late')
def delay_registry(context: Any) -> None:
    """Make the next read take longer than a change waits for it."""
    context.world.registrations.delay_s = _REGISTRY_DELAY_S


@given('the registration of member a has lapsed')
def expire_registration(context: Any) -> None:
    """Remove a from the group and the registry; a still receives."""
    context.world.group.members.pop('a')
    context.world.registrations.names = ['p', 'b']


@given('member a is {recorded} a recorded witness')
def set_witness(context: Any, recorded: str) -> None:
    """Keep member a in the record, or take it out as another host did."""
    group = context.world.group
    if recorded == 'no longer':
        staying = {
            each for each in group.record.witnesses if each.member_id != 'a'
        }
        group.record = GroupRecord(witnesses=frozenset(staying))


@given('the host started just now')
def mark_host_started_now(context: Any) -> None:
    """Set a time, still to come, until which members may be unregistered."""
    directory = context.world.directory
    directory.registrations_complete_from_s = (
        boot_time_s() + _REGISTRATION_DELAY_S
    )


@given('the host first read the registrations {age_s:d} s ago')
def set_first_read(context: Any, age_s: int) -> None:
    """Set since when a lapsed registration would have been noticed."""
    context.world.directory.first_read_s = boot_time_s() - age_s


@given('the host runs for long')
def check_registrations_complete(context: Any) -> None:
    """Check that all running members have had time to register."""
    assert context.world.directory.are_registrations_complete


@then('member d was paused {count:d} times')
def check_pauses(context: Any, count: int) -> None:
    """Compare the number of pauses of the unknown member."""
    assert context.world.fakes['d'].pause_count == count
