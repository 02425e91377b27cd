"""Reports acknowledged commits that the log of a promoted member lacks.

The members know what they have acknowledged themselves. A host may have told
its caller that the outcome is unknown, so the callers' records decide.
"""

import datetime
import math
import time
from collections.abc import Iterable, Mapping
from typing import Any, Final

from soak.history import History
from soak.violation import ViolationLog

_MS_PER_S: Final = 1000


def check_promotions(
    promotions: Iterable[Mapping[str, Any]],
    history: History,
    violations: ViolationLog,
) -> int:
    """Report commits that callers were told of and that a promotion lost.

    The detail shows whether the caller was told before the effect.

    Parameters
    ----------
    promotions
        Records of the promotions of a group; see ``PromotionRecord``.

    Returns
    -------
    int
        Commits that only a member had acknowledged, and no host.
    """
    unconfirmed_count = 0
    for promotion in promotions:
        for commit in promotion['lost']:
            times_s = [
                history.acknowledged_s(request_id)
                for request_id in commit['request_ids']
            ]
            if math.isinf(min(times_s)):
                unconfirmed_count += 1
                continue
            detail = _describe(promotion, commit, min(times_s))
            violations.add('LOST', '', commit['request_ids'], detail)
    return unconfirmed_count


def _describe(
    promotion: Mapping[str, Any], commit: Mapping[str, Any], told_s: float
) -> str:
    effect = _time_of_day(promotion['effect_s'])
    acknowledged = _time_of_day(commit['acknowledged_s'])
    lead_ms = round((promotion['effect_s'] - told_s) * _MS_PER_S)
    received = ', '.join(commit['receiver_ids'])
    held = ', '.join(commit['holder_ids'])
    return (
        f'promote of {_describe_call(promotion["call"])} took effect at '
        f'{effect} (term {promotion["term"]}, log {promotion["position"]}); '
        f'its log lacks commit {commit["position"]} of '
        f'{commit["primary_id"]}, acknowledged by it at {acknowledged} and to '
        f'the caller at {_time_of_day(told_s)}, {_describe_lead(lead_ms)} the '
        f'effect; received by: {received}; then held by: {held}'
    )


def _describe_lead(lead_ms: int) -> str:
    return f'{abs(lead_ms)} ms {"before" if lead_ms > 0 else "after"}'


def _describe_call(call: Mapping[str, Any]) -> str:
    called = _time_of_day(call['called_s'])
    return (
        f'{call["member_id"]}, called at {called} by {call["holder"]} fence '
        f'{call["token"]},'
    )


def _time_of_day(monotonic_s: float) -> str:
    """Return the time of day, in UTC as in the logs of hosts."""
    at_s = monotonic_s - time.monotonic() + time.time()
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.strftime('%H:%M:%S.%f')[:-3]
