"""Steps of reading.feature."""

import asyncio
import functools
import itertools
from collections.abc import Iterator
from typing import Any

import attrs
from behave import given, then, when

from features.builders import build_standing
from features.scheduling_builders import OPTIONS, build_member
from features.scheduling_fakes import (
    FakeClock,
    FakeTarget,
    RecordingDecisions,
    settle_tasks,
)
from mimosapond.access_mode import AccessMode
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.age_trackers import AgeTrackers
from mimosapond.completed import Completed
from mimosapond.floor import Floor
from mimosapond.group_beacon import GroupBeacon
from mimosapond.group_view import GroupView
from mimosapond.decision_log import NullDecisionLog
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.member_reader import MemberReader
from mimosapond.metrics import NullMetrics
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.peer_run import PeerRun
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetSilent,
)

GROUP = 'forge-a'
MEMBER = 'forge-a-1'


class FakeHolder:
    """Term holder that confirms a term, or nothing when it has none."""

    def __init__(self, term: int | None, replicated: int = 0) -> None:
        """Confirm ``term``; a majority holds term 1 up to ``replicated``."""
        self._term = term
        self._replicated = replicated
        self.view = GroupView(GROUP, 1, MEMBER, 'host')

    async def beacon(self, deadline_s: float) -> GroupBeacon | None:
        """Return a beacon of the confirmed term, None when there is none."""
        return None if self._term is None else build_beacon(self._term, 1)

    def is_replicated(self, position: int) -> bool:
        """Tell whether a majority holds ``position``."""
        return position <= self._replicated


def build_beacon(term: int, position: int) -> GroupBeacon:
    """Build a beacon of the group."""
    return GroupBeacon(GroupView(GROUP, term, MEMBER, 'host'), position)


@given('a member reader whose member answers as {role} at {log}')
def build_reader(context: Any, role: str, log: str) -> None:
    """Build a reader and the standing of its member."""
    terms, position = log.split('@')
    history = tuple(
        (int(term), int(first))
        for term, first in (pair.split(':') for pair in terms.split(','))
    )
    context.target = FakeTarget()
    context.clock = FakeClock()
    context.ages = AgeTrackers(context.clock)
    context.holder = None
    context.member = MEMBER
    standing = build_standing(history, int(position), role)
    if role == 'replica with a tail':
        standing = attrs.evolve(
            standing, role='replica', matched_position=int(position) - 1
        )
    context.target.answer = TargetAnswered((), standing)


@given('the reader\'s beacons were "{beacons}"')
@given('the reader\'s beacons were ""')
def note_beacons(context: Any, beacons: str = '') -> None:
    """Note beacons that arrived some seconds ago."""
    for beacon in beacons.split():
        age_s, term, position = map(int, beacon.split('/'))
        context.ages.tracker(GROUP).note(
            context.clock.now_s - age_s, build_beacon(term, position)
        )


@given("the reader's term holder {holder}")
def set_holder(context: Any, holder: str) -> None:
    """Set what the term holder of this host confirms."""
    if holder.startswith('is cut off at '):
        replicated = int(holder.removeprefix('is cut off at '))
        context.holder = FakeHolder(None, replicated)
    elif holder != 'is absent':
        context.holder = FakeHolder(int(holder.removeprefix('confirms ')))


@given('the new holder confirms term {term:d} in pull {pull:d}')
def set_new_holder(context: Any, term: int, pull: int) -> None:
    """Let another host confirm the term in a given pull.

    Earlier pulls began before the read ended, so they confirm nothing.
    """
    ages_s = itertools.chain(itertools.repeat(1, pull - 1), itertools.repeat(0))
    context.pull = functools.partial(_pull, context, term, ages_s)


async def _pull(
    context: Any, term: int, ages_s: Iterator[int], group: str
) -> None:
    """Note a beacon of the new holder."""
    beacon = build_beacon(term, 50)
    asked_s = context.clock.now_s - next(ages_s)
    context.ages.tracker(group).note(asked_s, beacon)


@given("the reader's target {behaviour}")
def set_target(context: Any, behaviour: str) -> None:
    """Set the answer of the member's connections."""
    answers = {
        'reports a SQL error': TargetRejected('sql_error', 'no such table'),
        'rejects the call': TargetRejected('bad_request', 'no'),
        'stays silent': TargetSilent('timeout', sent=True),
        'hangs until cancel': None,
    }
    context.target.answer = answers.get(behaviour, context.target.answer)


@when('the reader runs a read with floor {floor} and age bound {bound:d} ms')
def run_read(context: Any, floor: str, bound: int) -> None:
    """Run one read."""
    asyncio.run(read_once(context, floor, bound))


@when('the reader is asked for a member it does not own')
def run_other(context: Any) -> None:
    """Ask for another member."""
    context.member = 'forge-a-2'
    asyncio.run(read_once(context, 'none', 0))


async def read_once(context: Any, floor: str, bound: int) -> None:
    """Build the reader, read once and cancel a read that does not end."""
    registry = OwnerRegistry(
        context.target,
        OPTIONS,
        context.clock,
        RecordingDecisions(),
        NullMetrics(),
    )
    context.owner = registry.ensure(build_member())
    reader = MemberReader(
        registry,
        lambda group: context.holder if group == GROUP else None,
        context.ages,
        BeaconRefresher(context.ages, getattr(context, 'pull', find_no_holder)),
        context.clock,
        RecordingDecisions(),
        LeavingTargets(NullDecisionLog()),
    )
    run = build_run(floor, bound)
    run = attrs.evolve(run, member=context.member)
    task = asyncio.create_task(reader.read(run))
    await settle_tasks()
    if not task.done():
        task.cancel()
    context.outcomes = await asyncio.gather(task, return_exceptions=True)


async def find_no_holder(_group: str) -> None:
    """Return no beacon; beacon_refresh.feature tests the pulls."""


def build_run(floor: str, bound: int) -> PeerRun:
    """Build the peer request of a read."""
    term, _, position = floor.partition('/')
    request = StatementRequest(
        service='forge',
        workspace='w',
        request_id='1.abcdefghijklmnop',
        mode=AccessMode.READ,
        statements=(Statement('select 1'),),
        deadline_ms=1000,
        max_age_ms=bound,
    )
    known = None if floor == 'none' else Floor(int(term), int(position))
    return PeerRun(request, GROUP, MEMBER, floor=known)


@then('the reader answers {answer}')
def check_answer(context: Any, answer: str) -> None:
    """Compare the outcome of the read."""
    outcome = context.outcomes[0]
    if isinstance(outcome, asyncio.CancelledError):
        shown = 'cancelled'
    elif isinstance(outcome, Completed):
        shown = f'completed {outcome.data_age_ms}'
    else:
        shown = outcome.reason
    assert shown == answer, outcome


@then("the reader's owner holds no grant and keeps {count:d} connections")
def check_released(context: Any, count: int) -> None:
    """Check that no grant is held, and the number of open connections."""
    owner = context.owner
    assert not (owner.held_count or owner.running_count)
    assert context.target.open_count == count
