"""Steps about the holders and members that the work of a workspace goes to."""

from typing import Any, Final

import attrs
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.group_builders import (
    GROUP,
    build_configuration,
    build_record,
    build_route,
)
from features.holder_builders import build_peers, build_view
from features.virtual_loop import VirtualLoop
from features.workspace_connection_builders import CountingMember, use
from features.workspace_load import by_entry_host, by_workspace, run_load
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.quota_shares import QuotaShares
from mimosapond.configuration.workspace import Workspace
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import Rejected, RejectionKind
from mimosapond.peers.workspace_ranking import rank_for_workspace, spread_count
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.statements.reply import SessionState

_GROUP: Final = 'orders'
_POSITION: Final = LogPosition(1, 10)
_USE_S: Final = 0.01
_SLOWER_RATIO: Final = 1.5


@when('{text} send their load to 73 hosts, seed {seed:d}')
def run_both_loads(context: Any, text: str, seed: int) -> None:
    """Run the load with and without affinity."""
    context.with_affinity = run_load(by_workspace, seed)
    context.without_affinity = run_load(by_entry_host, seed)


@then('at most {count:d} of a hundred statements open a connection')
def check_few_dials(context: Any, count: int) -> None:
    """Compare the new connections with affinity; nothing is refused."""
    result = context.with_affinity
    assert result.dials_per_hundred <= count, result
    assert not result.refused_count, result


@then('without regard to workspaces at least {count:d} of a hundred do')
def check_many_dials(context: Any, count: int) -> None:
    """Compare the new connections without affinity."""
    result = context.without_affinity
    assert result.dials_per_hundred >= count, result


@when('all hosts choose a holder for a workspace with {share:g} of all quotas')
def choose_all(context: Any, share: float) -> None:
    """Collect the choices of all hosts."""
    context.chosen = {
        by_workspace(build_view(host, context.hosts), 'alpha', share)
        for host in context.hosts
    }


@then('they choose {count:d} holders')
def check_chosen(context: Any, count: int) -> None:
    """Count the holders; all of them hold the group."""
    assert len(context.chosen) == count, context.chosen


@settings(derandomize=True, deadline=None)
@for_all(
    st.integers(1, 12),
    st.integers(1, 4),
    st.integers(0, 11),
    st.floats(0, 1),
    st.text('abc', min_size=1),
)
def _check_order(
    count: int, centre_count: int, own: int, ratio: float, workspace: str
) -> None:
    holders = build_peers(count, centre_count)
    view = build_peers(12, centre_count)[own]
    order = rank_for_workspace(_GROUP, workspace, holders, view, ratio)
    assert sorted(order, key=str) == sorted(holders, key=str)
    chosen = order[: spread_count(ratio, count)]
    is_far = [peer.data_centre != view.data_centre for peer in chosen]
    assert is_far == sorted(is_far), chosen
    other = build_peers(12, centre_count)[(own + 1) % 12]
    other_order = rank_for_workspace(_GROUP, workspace, holders, other, ratio)
    assert set(chosen) == set(other_order[: len(chosen)])


@then('any host prefers holders of its data centre among those of a workspace')
def check_order(context: Any) -> None:
    """Check generated holders; each of them is in the order once."""
    _check_order()


@given('a holder of the group that is not the one of workspace alpha')
def choose_holder(context: Any) -> None:
    """Take the view of such a holder."""
    views = [build_view(host, context.hosts) for host in context.hosts]
    context.view = next(
        view
        for view in views
        if view.holders.holds(_GROUP)
        and view.holders.workspace_candidates(_GROUP, 'alpha', 0)
    )


@then('it passes on the work of alpha, and runs work without a workspace')
def check_passed_on(context: Any) -> None:
    """Keep the host that the work is passed on to."""
    holders = context.view.holders
    context.passed_on = holders.workspace_candidates(_GROUP, 'alpha', 0)
    assert context.passed_on
    assert holders.holds(_GROUP)


@when('the holder of alpha gives no answer')
def lose_chosen(context: Any) -> None:
    """Record a failure of the preferred holder."""
    context.view.peers.record_failure(context.passed_on[0])


@then('it passes on the work of alpha to another holder, or runs it')
def check_following(context: Any) -> None:
    """Compare the next choice with the one before."""
    found = context.view.holders.workspace_candidates(_GROUP, 'alpha', 0)
    assert found is None or found[0] == context.passed_on[1], found


def _build_quotas(version: int, text: str) -> Any:
    quotas = [item.split() for item in text.split(', ')]
    return attrs.evolve(
        build_configuration(build_route(), version),
        workspaces={
            name: Workspace(name, frozenset(), 1, float(rate), 1)
            for name, rate in quotas
        },
    )


@given('a configuration with the quotas {text}')
def build_shares(context: Any, text: str) -> None:
    """Put the first version in force."""
    context.active = ActiveConfiguration()
    context.shares = QuotaShares(context.active)
    context.active.activate(_build_quotas(1, text))


@when('a newer version has the quotas {text}')
def renew_shares(context: Any, text: str) -> None:
    """Put the next version in force."""
    context.active.activate(_build_quotas(2, text))


@then('the shares are {text}')
def check_quota_shares(context: Any, text: str) -> None:
    """Compare the share of each workspace."""
    for item in text.split(', '):
        name, ratio = item.split()
        assert context.shares.ratio(name) == float(ratio), name


@given('a group of 3 members with an idle connection of alpha to m3')
def build_members(context: Any) -> None:
    """Use a connection to one member once."""
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    now = context.loop.time
    directory = GroupDirectory(CountingMember(), now)
    directory.apply_limits(build_configuration(build_route()))
    directory.apply_registrations(map(build_record, ('m1', 'm2', 'm3')))
    context.group = directory.groups[GROUP]
    context.m3 = context.group.members['m3']
    context.selector = MemberSelector(context.m3.record.data_centre, now)
    context.loop.run_until_complete(use(context.m3.pool, 'alpha', _USE_S))


def _chosen_id(context: Any, workspace: str) -> str:
    chosen = context.selector.choose(context.group, _POSITION, (), workspace)
    return str(chosen.member_id)


@then('reads of alpha choose m3, even if it has been a little slower')
def check_kept(context: Any) -> None:
    """Compare the choice after the member became slower."""
    context.m3.load.latency_s *= _SLOWER_RATIO
    assert _chosen_id(context, 'alpha') == 'm3'


@then('reads of beta choose one that is not')
def check_others(context: Any) -> None:
    """Check that only the workspace with a connection prefers it."""
    assert _chosen_id(context, 'beta') != 'm3'


@when('m3 has refused a read')
def refuse(context: Any) -> None:
    """Record that the member was busy."""
    load = context.m3.load
    request = load.start(is_write=False)
    load.record(
        request, Rejected(RejectionKind.busy, '', SessionState.idle, None)
    )
    load.finish(request)


@then('reads of alpha choose another member')
def check_avoided(context: Any) -> None:
    """Check that a connection outweighs no refusal."""
    assert _chosen_id(context, 'alpha') != 'm3'


@then('it passes on one request a second to other hosts')
def check_trials(context: Any) -> None:
    """Ask twice at one time."""
    holders = context.view.holders
    context.tried = holders.trial_candidates(_GROUP)
    assert context.tried
    assert not holders.trial_candidates(_GROUP)


@when('a host that it passes one on to answers')
def answer_trial(context: Any) -> None:
    """Record the answer."""
    context.view.peers.record_answer(context.tried[0])


@when('it passes on a request')
def try_again(context: Any) -> None:
    """Look for candidates as the next request does."""
    assert context.view.holders.trial_candidates(_GROUP)
