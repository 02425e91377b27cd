"""Steps of witness_roster.feature."""

import asyncio
from typing import Any, Final

import attrs
from behave import given, then, when

from features.group_builders import (
    build_record,
    build_world,
    parse_position,
    record_all_witnesses,
)
from features.group_fakes import FakeMember
from features.holder_builders import TestClock
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.claim_port import FoundRecord
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.process_identity import ProcessIdentity
from mimosapond.routing.commit_witnesses import find_witnesses
from mimosapond.routing.pending_change_check import PendingChangeCheck

_MS_PER_S: Final = 1000
_BORN_AGAIN_MS: Final = 7
_BEGIN: Final = LogPosition(1, 10)
_EMPTY_LOG: Final = LogPosition(0, 0)
# Longer than a leaving member drains.
_LEAVING_AGE_S: Final = 8


@given('a host that has just started, with a record of {names}')
def start_host(context: Any, names: str) -> None:
    """Give the host a record that it read after its start."""
    context.world = build_world()
    context.world.directory.first_read_s = boot_time_s()
    recorded = None if names == 'nobody' else _processes(names)
    _set_record(context, GroupRecord(witnesses=recorded))
    world = context.world
    world.group.confirm_primary(world.group.members['p'], boot_time_s(), _BEGIN)


@given('member d has been listed for {listed_s:d} s')
def list_member(context: Any, listed_s: int) -> None:
    """Register a further member, and let the host know the primary."""
    world = context.world
    world.fakes['d'] = FakeMember('d')
    world.registrations.names.append('d')
    world.directory.apply_registrations(
        [build_record(name) for name in world.registrations.names]
    )
    since_s = boot_time_s() - listed_s
    world.group.members['d'].listed_since_s = since_s
    _prepare(context)


@given('all members answer')
def keep_members(context: Any) -> None:
    """Check that no member is silent."""
    assert not any(fake.is_silent for fake in context.world.fakes.values())


@given('member b is paused')
def pause_one(context: Any) -> None:
    """Pause b, as a change does that has not reached a yet."""
    context.world.fakes['b'].paused_term = 2


@given('another host claims the group')
def claim(context: Any) -> None:
    """Let the record be found with a claim."""
    claims = context.world.claims
    claims.found = attrs.evolve(claims.found, is_claimed=True)


@given('the recorded lead of {name} {state}')
def record_lead(context: Any, name: str, state: str) -> None:
    """Record a lead that may begin, or that has begun."""
    record = attrs.evolve(
        context.world.claims.found.record,
        lead=Lead(name, _BEGIN, 1),
    )
    context.world.claims.found = FoundRecord(record, 1, is_claimed=False)


@given('the store does not answer')
def silence_store(context: Any) -> None:
    """Let reads of the record get no answer."""
    context.world.claims.found = None


@given('member {name} has started again {log} its log')
def start_again(context: Any, name: str, log: str) -> None:
    """Register another process under the id of a member."""
    world = context.world
    fake = world.fakes[name]
    fake.is_primary = False
    fake.born_ms = _BORN_AGAIN_MS
    has_log = log == 'with'
    fake.position = world.fakes['p'].position if has_log else _EMPTY_LOG
    _register(context)
    if name != 'p':
        _prepare(context)


@given('member a has left')
def leave(context: Any) -> None:
    """Remove the registration of a, which had announced that it leaves."""
    leave_earlier(context, 0)


@given('member a has left {left_s:d} s ago')
def leave_earlier(context: Any, left_s: int) -> None:
    """Remove the registration of a some time ago."""
    world = context.world
    world.fakes['a'].is_silent = True
    member = world.group.members['a']
    member.unlisted_since_s = boot_time_s() - left_s
    member.leaving_since_s = member.unlisted_since_s - _LEAVING_AGE_S
    world.registrations.names.remove('a')
    _prepare(context)


@given('member a has crashed, and d took its address')
def replace(context: Any) -> None:
    """Let d start at the address of a, whose registration has not lapsed yet."""
    world = context.world
    world.fakes['a'].born_ms = 1
    _register(context)
    record_all_witnesses(world.directory)
    world.fakes['a'].is_silent = True
    world.fakes['d'] = FakeMember('d', born_ms=_BORN_AGAIN_MS)
    world.registrations.names.append('d')
    _register(context)
    _prepare(context)


@given('member a has been unlisted for {unlisted_s:d} s')
def unlist(context: Any, unlisted_s: int) -> None:
    """Remove the registration of a, which may come back."""
    world = context.world
    member = world.group.members['a']
    member.unlisted_since_s = boot_time_s() - unlisted_s
    world.registrations.names.remove('a')
    _prepare(context)


@given('member a has lapsed before this host started')
def lapse(context: Any) -> None:
    """Let the host know a from the record only."""
    context.world.group.members.pop('a')
    context.world.registrations.names.remove('a')
    _prepare(context)


@given('member p is {listing}')
def set_primary_listing(context: Any, listing: str) -> None:
    """Remove the registration of p if it is to be absent."""
    if listing == 'listed':
        return
    world = context.world
    absent_s = float(listing.split(' ')[2])
    world.group.members['p'].unlisted_since_s = boot_time_s() - absent_s
    world.registrations.names.remove('p')


@given(
    'an accepted call lets b lead {effect_ms:d} ms after the fence was raised',
)
def accept_call(context: Any, effect_ms: int) -> None:
    """Let b lead some time after the host called for the primary."""
    context.world.promotions.on_call = lambda: (
        asyncio.get_running_loop().call_later(
            effect_ms / _MS_PER_S, _lead_next_term, context.world.fakes, 'b'
        )
    )


@given('b leads when the host claims the group')
def lead_at_claim(context: Any) -> None:
    """Let a late call take effect while the host claims."""
    fakes = context.world.fakes
    context.world.claims.on_claim = lambda: _lead_next_term(fakes, 'b')


@then('a replica {is_known} known to be left paused')
def check_left_paused(context: Any, is_known: str) -> None:
    """Check whether the monitor of the group will end the change."""
    assert context.world.group.is_left_paused == (is_known == 'is')


@given('the call gets no answer, and b starts again without its log')
def lose_log_at_call(context: Any) -> None:
    """Empty the log of b during the promotion call, and end its pause."""
    fakes = context.world.fakes
    context.world.promotions.is_silent = True
    context.world.promotions.on_call = lambda: _lose_log(fakes['b'])


@when('the record is brought up to date')
def update(context: Any) -> None:
    """Read the record once, and change it if that is safe."""
    world = context.world
    asyncio.run(world.failover.roster.update(world.group))


@then('the witnesses of p are {names}')
def check_witnesses(context: Any, names: str) -> None:
    """Compare the members that may witness commits of p."""
    group = context.world.group
    found = find_witnesses(group, group.members['p'])
    text = ','.join(sorted(member.member_id for member in found))
    assert (text or 'none') == names, text


@then('the recorded witnesses are {names}')
def check_recorded(context: Any, names: str) -> None:
    """Compare the witnesses that were written; * marks a second process."""
    recorded = context.world.claims.recorded_witnesses
    text = 'unchanged'
    if recorded is not None:
        text = ','.join(
            process.member_id + '*' * bool(process.born_ms)
            for process in sorted(recorded)
        )
    assert text == names, text


@then('member a is {state}')
def check_pause(context: Any, state: str) -> None:
    """Check whether a receives again."""
    is_paused = context.world.fakes['a'].paused_term > 0
    assert is_paused == (state == 'paused')


@then('the recorded lead is that of {name}')
def check_lead(context: Any, name: str) -> None:
    """Check whether a primary was recorded that leads on."""
    lead = context.world.claims.settled_lead
    found = lead.member_id if isinstance(lead, Lead) else 'another member'
    assert found == name, lead


@given('a recorded lead of {name}, and calls that named {names}')
def record_calls(context: Any, name: str, names: str) -> None:
    """Record a lead and promotion calls."""
    context.record = GroupRecord(
        None if name == 'nobody' else Lead(name, _BEGIN, 1),
        called_ids=() if names == 'none' else tuple(names.split(',')),
    )


@given('it is found that this lead began in term {term:d}')
def find_term(context: Any, term: int) -> None:
    """Note the term of the recorded lead."""
    lead = context.record.lead.began_in(term)
    context.record = context.record.settled(lead)


@then('a log up to {received} {has} its begin')
def check_begin(context: Any, received: str, has: str) -> None:
    """Check whether a log is certain to have the begin of the lead."""
    is_in_log = context.record.lead.is_in_log(parse_position(received))
    assert is_in_log == (has == 'has'), context.record.lead


@then('beside the primary {name}, a change is {state}')
def check_pending(context: Any, name: str, state: str) -> None:
    """Check whether a recorded call may put another member in the lead."""
    is_pending = context.record.is_change_pending(name)
    assert is_pending == (state == 'pending'), context.record


@given('the store {answers}')
def set_reach(context: Any, answers: str) -> None:
    """Let the host check terms with the record, or without the store."""
    claims = context.world.claims
    claims.found = FoundRecord(context.record, 1, is_claimed=False)
    context.clock = TestClock()
    context.check = PendingChangeCheck(
        claims, context.clock, lambda: answers == 'answers'
    )


@then('a commit of term {term:d} is {result}')
def check_told(context: Any, term: int, result: str) -> None:
    """Check whether the primary of the term counts as settled."""
    group = context.world.group
    is_settled = asyncio.run(
        context.check.is_settled(group, group.members['p'], term)
    )
    assert is_settled == (result == 'told')


@then('after the calls are forgotten, one of term {term:d} is {result}')
def check_told_later(context: Any, term: int, result: str) -> None:
    """Check it once the record names no call any more."""
    claims = context.world.claims
    record = context.record.settled(context.record.lead)
    claims.found = FoundRecord(record, 2, is_claimed=False)
    context.clock.now_s += 1
    check_told(context, term, result)


@then('the record was read {count:d} times')
def check_reads(context: Any, count: int) -> None:
    """Compare the number of reads of the store."""
    assert context.world.claims.read_count == count


@then('a call that names {name} was recorded')
def check_recorded_call(context: Any, name: str) -> None:
    """Compare the call that was recorded."""
    assert context.world.claims.recorded_call_id == name


@then('its recorded term is {term:d}')
def check_term(context: Any, term: int) -> None:
    """Compare the term of the recorded lead."""
    lead = context.world.claims.settled_lead
    assert lead.term == term, lead


@given('a process whose registration was read at {read_s:g} s')
def confirm_process(context: Any, read_s: float) -> None:
    """Note when the process was last read."""
    context.clock = TestClock()
    context.clock.now_s = 0
    context.identity = ProcessIdentity(context.clock)
    context.identity.confirmed_s = read_s


@given('a connection to it was lost at {lost_s} s')
def lose_connection(context: Any, lost_s: str) -> None:
    """Record the loss of a connection that answered before, if there was one."""
    if lost_s != 'unknown':
        context.identity.trust()
    if lost_s not in {'unknown', 'never'}:
        context.identity.record_loss(float(lost_s))


@given(
    'a connection to it, opened at {opened_s:g} s, answered a request that was '
    'sent at {sent_s:g} s'
)
def answer_without_doubt(context: Any, opened_s: float, sent_s: float) -> None:
    """Let the process answer while nothing is in doubt."""
    context.identity.trust()
    context.opened_s = opened_s
    context.identity.record_answer(opened_s, sent_s)


@given(
    'another connection, which was last used at {used_s:g} s, is lost at '
    '{lost_s:g} s'
)
def lose_other_connection(context: Any, used_s: float, lost_s: float) -> None:
    """Record the loss at its time."""
    context.clock.now_s = lost_s
    context.identity.record_loss(used_s)


@given('the first connection answers a request that was sent at {sent_s:g} s')
def answer_after_loss(context: Any, sent_s: float) -> None:
    """Let the process answer on the connection that it had before."""
    context.identity.record_answer(context.opened_s, sent_s)


@given(
    'a connection that was opened at {opened_s:g} s answers a request that was '
    'sent at {sent_s:g} s'
)
def answer_in_doubt(context: Any, opened_s: float, sent_s: float) -> None:
    """Let a connection answer that may lead to another process."""
    context.identity.record_answer(opened_s, sent_s)


@then('answers on a connection opened at {opened_s:g} s are {certainty}')
def check_certainty(context: Any, opened_s: float, certainty: str) -> None:
    """Check whether an answer counts for the process."""
    is_certain = context.identity.is_certain(opened_s)
    assert is_certain == (certainty == 'its own')


def _lose_log(fake: FakeMember) -> None:
    fake.position = _EMPTY_LOG
    fake.paused_term = 0


def _lead_next_term(fakes: dict[str, FakeMember], name: str) -> None:
    """Let a replica lead with what it has received."""
    for fake in fakes.values():
        fake.is_primary = fake.member_id == name
    fakes[name].position = LogPosition(2, 10)


def _prepare(context: Any) -> None:
    """Let the host know the primary, and find the record in the store."""
    world = context.world
    _set_record(context, world.group.record)
    world.group.confirm_primary(world.group.members['p'], boot_time_s(), _BEGIN)


def _set_record(context: Any, record: GroupRecord) -> None:
    context.world.group.record = record
    context.world.claims.found = FoundRecord(record, 1, is_claimed=False)


def _register(context: Any) -> None:
    """Let the host read the registrations."""
    world = context.world
    world.directory.apply_registrations(
        [
            build_record(name, born_ms=world.fakes[name].born_ms)
            for name in world.registrations.names
        ]
    )


def _processes(names: str) -> frozenset[MemberProcess]:
    return frozenset(MemberProcess(name) for name in names.split(','))
