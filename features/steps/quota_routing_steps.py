"""Steps of quotas.feature about operations at members."""

import itertools
from typing import Any

from behave import given, then

from features.quota_routing import CountedQuota, limit_operations
from mimosapond.groups.member_answer import RejectionKind
from mimosapond.routing import failures
from mimosapond.statements.reply import Failure

_PROBES = frozenset(('BEGIN', 'ROLLBACK'))


@given('the session may run {count:d} operations')
def limit_session(context: Any, count: int) -> None:
    """Open the session again, with a quota."""
    context.quota = CountedQuota(count)
    context.world = limit_operations(context.world, context.quota)
    context.session = context.world.open_session()


@given('the members refuse {count:d} requests as busy')
def refuse_requests(context: Any, count: int) -> None:
    """Make each member refuse its first requests."""
    for fake in context.world.fakes.values():
        fake.pending_rejections.extend(
            itertools.repeat(RejectionKind.busy, count)
        )


@given('each statement takes {time_ms:d} ms')
def slow_down(context: Any, time_ms: int) -> None:
    """Make the members slow."""
    for fake in context.world.fakes.values():
        fake.statement_s = time_ms / 1000


@then('{count:d} tokens are taken')
def check_tokens(context: Any, count: int) -> None:
    """Check how many tokens the operations took."""
    assert context.quota.taken_count == count, context.quota


@then('as many tokens are taken as members ran it, which are several')
def check_hedged(context: Any) -> None:
    """Compare the tokens with the members that ran the read."""
    ran = _ran_statements(context)
    assert len(ran) > 1, ran
    assert context.quota.taken_count == len(ran), (context.quota, ran)


@then('the quota refuses it, and no member ran anything')
def check_refusal(context: Any) -> None:
    """Check the reply and the members."""
    reply = context.reply
    assert isinstance(reply, Failure), reply
    assert failures.is_over_quota(reply), reply
    assert not _ran_statements(context)


def _ran_statements(context: Any) -> list[str]:
    return [
        text
        for fake in context.world.fakes.values()
        for text in fake.executed_statements
        if text not in _PROBES
    ]
