"""Steps of quotas.feature."""

import re
from typing import Any

from behave import given, then, when

from features.quota_builders import build_work
from features.quota_model import ModelEvent, QuotaModel, QuotaRun, run_model
from features.quota_properties import check_histories
from features.virtual_loop import run_virtually
from mimosapond.configuration.workspace import Workspace
from mimosapond.quotas.quota_home import QuotaHome
from mimosapond.quotas.quota_terms import QuotaTerms

LASTS_S = 12.0


@given('a quota of {rate:d} operations per second')
def set_quota(context: Any, rate: int) -> None:
    """Set rate and burst of the workspace."""
    context.rate_per_s = rate


@when('the demand is {ratio:g} times the quota')
def run_demand(context: Any, ratio: float) -> None:
    """Run a model without events."""
    context.run = run_model(1, context.rate_per_s, ratio, [], LASTS_S)


@when(
    'the demand is {ratio:g} times the quota and these events occur: {events}'
)
def run_events(context: Any, ratio: float, events: str) -> None:
    """Run a model with events."""
    context.run = run_model(
        1,
        context.rate_per_s,
        ratio,
        [_parse_event(text) for text in events.split(', ')],
        LASTS_S,
    )


def _parse_event(text: str) -> ModelEvent:
    kind, at_s, lasts_s, number = text.split()
    return ModelEvent(kind, float(at_s), float(lasts_s), int(number))


@when('an operation has no workspace')
def run_without_workspace(context: Any) -> None:
    """Run one operation without a workspace."""

    async def run() -> QuotaRun:  # noqa: WPS430 -- needs the loop
        model = QuotaModel(1, context.rate_per_s, 0)
        return await model.run_one(build_work(0, workspace=''))

    context.run = run_virtually(run())


@then('a home grants again after a pause of {pause_s:g} s and a claim')
def check_pause(context: Any, pause_s: float) -> None:
    """Claim a bucket, leave it unused, claim it again and take a token."""
    now_s: list[float] = [0]
    rate = context.rate_per_s
    workspace = Workspace('w', frozenset(), 1, rate, rate)
    home = QuotaHome(lambda _: workspace, QuotaTerms(), lambda: now_s[0])
    for _ in range(2):
        now_s[0] += pause_s
        assert not home.is_certain('w')
        home.install(workspace, (), 1, is_complete=True)
        assert home.is_certain('w')
        assert home.grant(workspace, 1, 1, 1)[0] == 1


@then('no operation is refused')
def check_no_refusal(context: Any) -> None:
    """Check that there are no refusals, and that operations ran."""
    assert context.run.run_s
    assert not context.run.refused, context.run.refused[:3]


@then('no message was sent')
def check_no_message(context: Any) -> None:
    """Check that hosts did not talk about quotas."""
    assert not context.run.request_count, context.run.request_count


@then('the bound is kept')
def check_bound(context: Any) -> None:
    """Check every window of the run."""
    used_ratio = context.run.used_ratio()
    assert used_ratio <= 1, used_ratio


@then('the quota is used')
def check_used(context: Any) -> None:
    """Check that what the bucket refills is nearly all used."""
    used_per_s = len([at_s for at_s in context.run.run_s if at_s > LASTS_S - 5])
    assert used_per_s > 5 * context.rate_per_s * 0.85, used_per_s


@then('the refusals say when to retry')
def check_texts(context: Any) -> None:
    """Check that the times to retry are given, and spread."""
    pattern = re.compile(
        'the quota of the workspace is used up; retry after ([0-9]+) ms'
    )
    found = [pattern.fullmatch(text) for text in context.run.refused]
    assert all(found), context.run.refused[:3]
    assert len({each.group(1) for each in found if each}) > 5


@then('the bound is kept in any history of hosts, cuts, losses and changes')
def check_property(context: Any) -> None:
    """Check random histories."""
    check_histories()
