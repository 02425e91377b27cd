"""Steps of primary_change.feature for claims of several hosts."""

import asyncio
import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

import attrs
from behave import given, step, then, when

from features.group_builders import GROUP, parse_position
from features.group_fakes import FakeClaimStore, FakeHostClaims, FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    DutyTaken,
    DutyUnknown,
)
from mimosapond.failover.lead_record import LeadRecording, LeadUnknown, NoLead
from mimosapond.failover.promotion_port import PromotionRefused
from mimosapond.groups.lead import Lead
from mimosapond.groups.member_process import MemberProcess

_TOKEN: Final = 7
# Lower and higher than the token of the claim that the fake grants.
_EARLIER_TOKEN: Final = 5
_NEWER_TOKEN: Final = 9
_CALL_TIMEOUT_S: Final = 1.0
_FORMER_START_MS: Final = 5
# Longer than the steps of a change before its promotion call.
_CLAIM_LEFT_S: Final = 0.3
_RENEWAL_OUTCOMES: Final[Mapping[str, ClaimOutcome]] = MappingProxyType(
    {
        'can be renewed': DutyClaim(_TOKEN + 1, math.inf, NoLead()),
        'is held by another host': DutyTaken('other'),
        'the store does not answer': DutyUnknown('no answer'),
    },
)


@given('members a and b are paused under a newer claim')
def pause_under_newer_claim(context: Any) -> None:
    """Pause a and b under a higher token, as another host would."""
    for name in ('a', 'b'):
        context.world.fakes[name].paused_term = _NEWER_TOKEN


@given('a host with a newer claim pauses a and b during the promotion call')
def pause_during_promotion(context: Any) -> None:
    """Pause a and b under a higher token during each promotion call."""
    context.world.promotions.on_call = lambda: pause_under_newer_claim(context)


@given('a request to resume {process} may still be carried out')
def record_resume(context: Any, process: str) -> None:
    """Let the claim name a process whose pause may end."""
    born_ms = _FORMER_START_MS if process.startswith('the former') else 0
    resumable = frozenset((MemberProcess('a', born_ms),))
    claims = context.world.claims
    claims.outcome = attrs.evolve(claims.outcome, resumable=resumable)


@given('member a does not answer requests to resume')
def delay_resumes(context: Any) -> None:
    """Let the requests have no effect yet."""
    context.world.fakes['a'].delays_resumes = True


@given('the store does not answer when requests are recorded')
def lose_recording(context: Any) -> None:
    """Let the host not know whether the requests are recorded."""
    context.world.claims.resume_recording = LeadRecording.unknown


@given('another host claims before requests are recorded')
def supersede_recording(context: Any) -> None:
    """Let another host hold the claim by then."""
    context.world.claims.resume_recording = LeadRecording.superseded


@given('member b is not paused any more')
def end_pause(context: Any) -> None:
    """End the pause of b."""
    context.world.fakes['b'].paused_term = 0


@given('each promotion ends the pauses of all members')
def end_pauses(context: Any) -> None:
    """End the pauses when the platform is called."""
    world = context.world
    world.promotions.on_call = lambda: _end_pauses(world.fakes.values())


def _end_pauses(fakes: Iterable[FakeMember]) -> None:
    for fake in fakes:
        fake.paused_term = 0


@then('the members {names} got a request to resume')
def check_resumes(context: Any, names: str) -> None:
    """Compare the members that were asked to receive again."""
    fakes = context.world.fakes.values()
    found = [fake.member_id for fake in fakes if fake.resume_count]
    assert (','.join(sorted(found)) or 'none') == names, found


@then('requests to resume {names} are recorded')
def check_recorded_resumes(context: Any, names: str) -> None:
    """Compare the processes whose requests were not forgotten."""
    resumed = context.world.claims.resumed
    found = sorted(process.member_id for process in resumed)
    assert (','.join(found) or 'none') == names, found


@given('the claim expires during the promotion call and {next_holder}')
def expire_claim(context: Any, next_holder: str) -> None:
    """Grant a claim that has expired before the replicas are resumed."""
    claims = context.world.claims
    claims.outcome = DutyClaim(_TOKEN, boot_time_s() + _CLAIM_LEFT_S, NoLead())
    context.world.promotions.delay_s = 2 * _CLAIM_LEFT_S
    outcome = _RENEWAL_OUTCOMES[next_holder]
    context.world.promotions.on_call = lambda: claims.use_outcome(outcome)


@given('the platform has seen a higher token')
def raise_newest_token(context: Any) -> None:
    """Make the platform refuse the token of this host."""
    context.world.promotions.newest_token = _NEWER_TOKEN


@given(
    'the last recorded lead is that of {name}, from {begin} in a term after '
    '{term:d}',
)
def set_recorded_lead(context: Any, name: str, begin: str, term: int) -> None:
    """Let the claim of the host carry a lead that it never saw."""
    lead = Lead(name, parse_position(begin), term)
    context.world.claims.outcome = DutyClaim(_TOKEN, math.inf, lead)


@given('it is known to have begun in term {term:d}')
def set_recorded_term(context: Any, term: int) -> None:
    """Let the recorded lead have its term."""
    claim = context.world.claims.outcome
    lead = attrs.evolve(claim.lead, term=term)
    context.world.claims.outcome = attrs.evolve(claim, lead=lead)


@then(
    'it was recorded that {name} leads term {term:d} and none before it but '
    'term {newest_term:d}'
)
def check_settled_lead(
    context: Any, name: str, term: int, newest_term: int
) -> None:
    """Compare the lead that was recorded once its member led."""
    lead = context.world.claims.settled_lead
    found = (lead.member_id, lead.term, lead.newest_term)
    assert found == (name, term, newest_term), lead


@given('the store is silent, so that the last recorded lead is not known')
def hide_recorded_lead(context: Any) -> None:
    """Let the host claim with a token that it reserved before."""
    context.world.claims.outcome = DutyClaim(_TOKEN, math.inf, LeadUnknown())


@given('the host {saw} member p lead')
def set_sight(context: Any, saw: str) -> None:
    """Let the host have seen a primary, or have started after its loss."""
    group = context.world.group
    if saw == 'saw':
        fake = context.world.fakes['p']
        group.confirm_primary(group.members['p'], boot_time_s(), fake.position)
        group.suspect_primary(group.members['p'], 'silent')


@given('recording a lead gives {result}')
def set_recording(context: Any, result: str) -> None:
    """Set the result of recording a lead."""
    context.world.claims.recording = LeadRecording(result)


@then('the lead of {name} from {begin} in a term after {term:d} was recorded')
def check_recorded_lead(context: Any, name: str, begin: str, term: int) -> None:
    """Compare the lead that was recorded before the promotion."""
    expected = Lead(name, parse_position(begin), term)
    found = context.world.claims.recorded_lead
    assert found == expected, found


@then('the platform refuses a promotion with a token reserved earlier')
def check_older_token_refused(context: Any) -> None:
    """Promote with a lower token and check that it is refused."""
    call = context.world.promotions.promote(
        GROUP, 'a', _EARLIER_TOKEN, _CALL_TIMEOUT_S
    )
    outcome = asyncio.run(call)
    assert isinstance(outcome, PromotionRefused), outcome


@step('pauses of {name} get no answer')
def ignore_pauses(context: Any, name: str) -> None:
    """Make a replica answer all requests except pauses."""
    if name != 'nobody':
        context.world.fakes[name].ignores_pauses = True


@when('two hosts try to {change} in turn')
def change_in_turn(context: Any, change: str) -> None:
    """Let each of two hosts attempt a change of p twice."""
    store = FakeClaimStore()
    context.claim_store = store
    hosts = [
        context.world.build_failover(FakeHostClaims(store, host))
        for host in ('host-1', 'host-2')
    ]
    asyncio.run(_change_in_turn(context.world, change, hosts * 2))


async def _change_in_turn(world: Any, change: str, hosts: list[Any]) -> None:
    group = world.group
    primary = group.members['p']
    for failover in hosts:
        match change:
            case 'replace the lost primary':
                await failover.replace_lost_primary(group)
            case 'replace the stalled primary':
                await failover.replace_stalled_primary(group, primary)
            case _:
                await failover.hand_over(group, primary)


@then('the hosts that called a promotion are {hosts}')
def check_calling_hosts(context: Any, hosts: str) -> None:
    """Compare the holders of the tokens in the promotion calls."""
    granted = context.claim_store.granted
    calls = context.world.promotions.calls
    calling = sorted({granted[token] for _, token in calls})
    assert (', '.join(calling) or 'none') == hosts, calls


@then('the claim was released')
def check_released(context: Any) -> None:
    """Check that other hosts can claim the group at once."""
    assert context.world.claims.is_released


@given('the host is suspended between its claim and its promotion call')
def suspend_host(context: Any) -> None:
    """Grant a claim that has expired when the members have been paused."""
    context.world.claims.outcome = DutyClaim(_TOKEN, boot_time_s(), NoLead())
