"""Steps of primary_change.feature on claims of several hosts."""

import asyncio
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from behave import given, then

from features.group_builders import GROUP
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    DutyTaken,
    DutyUnknown,
)
from mimosapond.failover.promotion_port import PromotionRefused

_TOKEN: Final = 7
# Lower and higher than that of the claim that the tests give.
_EARLIER_TOKEN: Final = 5
_NEWER_TOKEN: Final = 9
_CALL_LIMIT_S: Final = 1.0
_RENEWALS: Final[Mapping[str, ClaimOutcome]] = MappingProxyType(
    {
        'can be renewed': DutyClaim(_TOKEN + 1, math.inf),
        'is held by another host': DutyTaken('other'),
        'the store does not answer': DutyUnknown('no answer'),
    },
)


@given('members a and b are paused under a newer claim')
def pause_newer(context: Any) -> None:
    """Let a host with a higher token have paused them."""
    for name in ('a', 'b'):
        context.world.fakes[name].paused_term = _NEWER_TOKEN


@given("the platform's answer is overtaken by a pause under a newer claim")
def pause_meanwhile(context: Any) -> None:
    """Let a host with a higher token pause them during the call."""
    context.world.promotions.on_call = lambda: pause_newer(context)


@given('the claim lapses during the call and {next_holder}')
def lapse_claim(context: Any, next_holder: str) -> None:
    """Let the claim end before replicas can be told to receive."""
    claims = context.world.claims
    claims.outcome = DutyClaim(_TOKEN, boot_time_s())
    outcome = _RENEWALS[next_holder]
    context.world.promotions.on_call = lambda: claims.answer(outcome)


@given('the platform has seen a higher token')
def raise_fence(context: Any) -> None:
    """Refuse the token of this host."""
    context.world.promotions.newest_token = _NEWER_TOKEN


@then('the platform refuses a promotion with a token taken before')
def check_fence(context: Any) -> None:
    """Make the call of the host that took its token in advance."""
    call = context.world.promotions.promote(
        GROUP, 'a', _EARLIER_TOKEN, _CALL_LIMIT_S
    )
    outcome = asyncio.run(call)
    assert isinstance(outcome, PromotionRefused), outcome
