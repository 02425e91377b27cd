"""Steps of primary_change.feature on members that a host may not know."""

from typing import Any, Final

from behave import given, then

from features.group_fakes import FakeMember
from mimosapond.boot_clock import boot_time_s

_TOO_LATE_S: Final = 0.6
_JUST_STARTED_S: Final = 2.0
_DRAINED_S: Final = 8


@given('member d took the place of member a without this host knowing')
def replace_member(context: Any) -> None:
    """Let a have left with notice, and d receive in its place."""
    world = context.world
    world.fakes['a'].is_silent = True
    world.fakes['d'] = FakeMember('d')
    member = world.group.members['a']
    member.leaving_since_s = boot_time_s() - _DRAINED_S
    member.unlisted_since_s = boot_time_s()
    world.registrations.names = ['p', 'b', 'd']


@given('the registry lists member d')
def list_member(context: Any) -> None:
    """Check that the next read will return it."""
    assert 'd' in context.world.registrations.names


@given('the registry falls silent')
def silence_registry(context: Any) -> None:
    """Let the next read fail; this host does not know yet."""
    context.world.registrations.is_silent = True


@given('the registry answers too late')
def delay_registry(context: Any) -> None:
    """Let the next read take longer than a change waits for it."""
    context.world.registrations.delay_s = _TOO_LATE_S


@given('the registration of member a has lapsed')
def lapse_registration(context: Any) -> None:
    """Let the host know nothing of a, which receives."""
    context.world.group.members.pop('a')
    context.world.registrations.names = ['p', 'b']


@given('the host started just now')
def start_now(context: Any) -> None:
    """Let members that live not all have had time to register."""
    directory = context.world.directory
    directory.registrations_complete_from_s = boot_time_s() + _JUST_STARTED_S


@given('the host runs for long')
def run_long(context: Any) -> None:
    """Check that registrations were read for long."""
    assert context.world.directory.are_registrations_complete


@then('member d was paused {count:d} times')
def check_pauses(context: Any, count: int) -> None:
    """Compare the pauses of the unknown member."""
    assert context.world.fakes['d'].pause_count == count
