"""Steps of terms.feature."""

import asyncio
from typing import Any, Final

from behave import given, then, when

from features.terms_histories import check_histories
from features.terms_member_fakes import run_sql
from features.terms_world import (
    GROUP,
    FakeHost,
    World,
    build_run,
    note,
    request_id,
)
from mimosapond.completed import Completed
from mimosapond.durability import Durability
from mimosapond.floor import Floor
from mimosapond.outcome import Outcome
from mimosapond.refused import Refused
from mimosapond.request_ledger import RequestLedger
from mimosapond.session_table import SessionTable
from mimosapond.statement import Statement
from mimosapond.token import Token

_MS_PER_HOUR: Final = 3_600_000
_DEADLINE_MS: Final = 1000
_TICK_S: Final = 0.02
_SLOW_S: Final = 0.15
_PROBE_COUNT: Final = 200


def _outcome_name(outcome: Outcome) -> str:
    if isinstance(outcome, Refused):
        return str(outcome.reason)
    if isinstance(outcome, Completed) and outcome.replayed:
        return 'replayed'
    return outcome.outcome


@given('terms host "{host}" holds the term of primary "{member}"')
def acquire_first_term(context: Any, host: str, member: str) -> None:
    """Build the world and acquire the first term."""
    context.world = World()
    context.add_cleanup(context.world.close)
    context.outcomes = {}
    context.tasks = {}
    assert context.world.acquire_term(host, member)
    context.world.spread_views()
    # The first write creates the ledger table, so that later faults affect the
    # write under test.
    write_note(context, host, 'warm-up', 'replicated')
    check_outcome(context, 'warm-up', 'completed')


@given('terms next commit at "{member}" is unanswered and isolates it')
def isolate_after_commit(context: Any, member: str) -> None:
    """Hold back the commit's answer and stop the replication."""
    world = context.world
    world.members[member].held_answer = asyncio.Event()
    world.members[member].cut_hosts = {'h2', 'h3'}
    world.cut_members.add(member)


@when('terms member "{member}" delivers its commit answer')
def deliver_answer(context: Any, member: str) -> None:
    """Deliver the answer that was held back."""
    context.world.members[member].held_answer.set()


@given('terms member "{member}" blocks commits')
def block_commits(context: Any, member: str) -> None:
    """Block commits before they take effect."""
    context.world.members[member].held_commit = asyncio.Event()


@when('terms member "{member}" unblocks commits')
def unblock_commits(context: Any, member: str) -> None:
    """Let the blocked commits take effect."""
    context.world.members[member].held_commit.set()


@given('terms member "{member}" loses its next commit answer')
def lose_answer(context: Any, member: str) -> None:
    """Make the next commit take effect without an answer."""
    context.world.members[member].loses_commit_answer = True


@given('terms replicas lag {lag_s:g} s')
@when('terms replicas lag {lag_s:g} s')
def lag_replicas(context: Any, lag_s: float) -> None:
    """Delay the replication to all members."""
    for member in context.world.members.values():
        member.lag_s = lag_s


@given('terms member "{name}" lags {lag_s:g} s')
def lag_member(context: Any, name: str, lag_s: float) -> None:
    """Delay the replication to one member."""
    context.world.members[name].lag_s = lag_s


@given('terms member "{name}" is {state}')
@when('terms member "{name}" becomes {state}')
def set_member_state(context: Any, name: str, state: str) -> None:
    """Isolate a member if ``state`` is silent; else change nothing."""
    if state == 'silent':
        context.world.cut(name)


@when('terms host "{host}" starts {durability} write "{label}"')
def start_write(context: Any, host: str, durability: str, label: str) -> None:
    """Start a write and let it run until it is blocked."""
    work = context.world.write(host, label, Durability(durability))
    context.tasks[label] = context.world.start(work)
    context.world.wait(_TICK_S)


@when('terms host "{host}" writes "{label}" with {durability} durability')
def write_note(context: Any, host: str, label: str, durability: str) -> None:
    """Run a write and keep its outcome."""
    world = context.world
    work = world.write(host, label, Durability(durability))
    context.outcomes[label] = world.run(work)
    context.tasks.pop(label, None)


@when('terms host "{host}" runs "{sql}" as "{label}"')
def run_statement(context: Any, host: str, sql: str, label: str) -> None:
    """Run one statement as a write."""
    run = build_run(request_id(context.world, label), (Statement(sql),))
    holder = context.world.hosts[host].holder
    context.outcomes[label] = context.world.run(holder.write(run))


@when('terms host "{host}" settles "{label}"')
def settle_request(context: Any, host: str, label: str) -> None:
    """Settle the request ``label``."""
    identity = request_id(context.world, label)
    holder = context.world.hosts[host].holder
    work = holder.settle(identity, _DEADLINE_MS)
    context.outcomes[label] = context.world.run(work)


@when('terms host "{host}" promotes the newest member')
def promote_newest(context: Any, host: str) -> None:
    """Acquire a term for the newest member."""
    assert context.world.acquire_term(host, None)


@when('terms host "{host}" keeps primary "{member}"')
def keep_primary(context: Any, host: str, member: str) -> None:
    """Acquire a term for a given primary."""
    assert context.world.acquire_term(host, member)
    context.world.wait(_TICK_S)


@then('terms write "{label}" ends as {expected}')
def check_outcome(context: Any, label: str, expected: str) -> None:
    """Compare the outcome of a write, after it has ended."""
    started = context.tasks.get(label)
    if started is not None:
        context.outcomes[label] = context.world.run(started)
    outcome = context.outcomes[label]
    assert _outcome_name(outcome) == expected, outcome


@then('terms note "{label}" exists {count:d} times')
def check_notes(context: Any, label: str, count: int) -> None:
    """Count how often a write took effect."""
    found = context.world.count_notes(label)
    assert found == count, found


@then('terms primary is "{member}"')
def check_primary(context: Any, member: str) -> None:
    """Compare the primary of the highest term."""
    assert context.world.primary().name == member


@then('terms primary is not "{member}"')
def check_other_primary(context: Any, member: str) -> None:
    """Check that the primary was replaced."""
    assert context.world.primary().name != member


@given('terms platform is {state}')
def set_platform(context: Any, state: str) -> None:
    """Apply a fault to the platform."""
    platform = context.world.platform
    if state in {'down', 'slow'}:
        platform.delay_s = _DEADLINE_MS if state == 'down' else _SLOW_S
    platform.loses_answers = state == 'losing answers'


@when(
    'terms hosts "{one}" and "{other}" promote concurrently with seed {seed:d}'
)
def promote_together(context: Any, one: str, other: str, seed: int) -> None:
    """Let two hosts try to acquire a term concurrently."""
    world = context.world
    world.jitter.seed(seed)
    calls = [
        world.start(world.hosts[host].attempts.acquire(keep=None))
        for host in (one, other)
    ]
    world.run(asyncio.wait(calls))


@when('terms host "{host}" keeps "{one}" and "{other}" concurrently')
def keep_together(context: Any, host: str, one: str, other: str) -> None:
    """Let one host try to acquire two terms concurrently."""
    world = context.world
    acquirer = world.hosts[host].acquirer
    calls = [
        world.start(acquirer.acquire(GROUP, keep=member))
        for member in (one, other)
    ]
    world.run(asyncio.wait(calls))


@then('terms have one holder and one primary at the highest term')
def check_single_holder(context: Any) -> None:
    """Compare the holders with the primary's term."""
    world = context.world
    primary = world.primary()
    assert primary.term > 1, 'nothing was promoted'
    holders = [
        name
        for name, host in world.hosts.items()
        if host.holder and host.holder.view.term == primary.term
    ]
    assert holders == [primary.granted_to], holders
    leading = [
        member
        for member in world.members.values()
        if member.term == primary.term and member.role == primary.role
    ]
    assert leading == [primary]


@given('terms owner of "{member}" is moved to "{host}"')
def move_owner(context: Any, member: str, host: str) -> None:
    """Change the placement."""
    context.world.directory.owner_ids[member] = host


@given('terms host "{host}" is dead')
def kill_host(context: Any, host: str) -> None:
    """Cut off a host and remove its keeper."""
    context.world.network.cut_hosts.add(host)
    del context.world.hosts[host]


@when('terms keepers run for {delay_s:g} s')
def run_keepers(context: Any, delay_s: float) -> None:
    """Start the keepers and let time pass."""
    context.world.run_keepers()
    context.world.wait(delay_s)


@when('terms keepers continue for {delay_s:g} s')
def continue_keepers(context: Any, delay_s: float) -> None:
    """Let time pass while the keepers run."""
    context.world.wait(delay_s)


@when('terms members are reconnected')
def reconnect_members(context: Any) -> None:
    """Reconnect all members."""
    context.world.remove_faults()


@then('terms host "{host}" is the holder at term {term:d}')
def check_holder(context: Any, host: str, term: int) -> None:
    """Compare the holder's term with the given one and the primary's."""
    holder = context.world.hosts[host].holder
    assert holder is not None
    assert holder.view.term == term == context.world.primary().term


@given('terms disturbance "{disturbance}"')
def apply_disturbance(context: Any, disturbance: str) -> None:
    """Apply a fault that must not cause a promotion."""
    world = context.world
    match disturbance:
        case 'h2 is isolated from all':
            world.network.cut_hosts.add('h2')
            for member in world.members.values():
                member.cut_hosts.add('h2')
        case 'h2 is isolated from hosts and primary':
            world.network.cut_hosts.add('h2')
            world.members['m1'].cut_hosts.add('h2')
        case 'h2 has a silent link to the holder':
            world.network.silent_links.add(('h2', 'h1'))
        case 'h1 has a silent link to its primary':
            world.members['m1'].silent_links.add('h1')
        case 'platform is down':
            world.platform.delay_s = _DEADLINE_MS
        case 'm3 is silent':
            world.cut('m3')
        case _:
            raise AssertionError(disturbance)


def _probe(world: World, attempt: int) -> str:
    """Write through the newest holder, as an entry host does."""
    host = world.hosts.get(world.primary().granted_to or '')
    if host is None or host.holder is None:
        return 'no holder'
    label = f'probe-{attempt}'
    run = build_run(request_id(world, label), (note(label),))
    return _outcome_name(world.run(host.holder.write(run)))


@then('terms writes succeed within {limit_s:g} s')
def check_write_gap(context: Any, limit_s: float) -> None:
    """Measure the time until a write is acknowledged."""
    world = context.world
    started_s = world.clock.monotonic_s()
    for attempt in range(_PROBE_COUNT):
        if _probe(world, attempt) == 'completed':
            break
        world.wait(_TICK_S)
    gap_s = world.clock.monotonic_s() - started_s
    assert gap_s <= limit_s, gap_s


def _floor(world: World, host: str) -> Floor | None:
    holder = world.hosts[host].holder
    if holder is None:
        return None
    deadline_s = world.clock.monotonic_s() + 1
    return world.run(holder.floor('clerk', deadline_s))


@then('terms floor at "{host}" includes write "{label}"')
def check_floor(context: Any, host: str, label: str) -> None:
    """Check that a log that includes the floor includes the write."""
    floor = _floor(context.world, host)
    token = Token.parse(context.outcomes[label].token)
    assert floor is not None and token is not None
    assert floor.term >= token.term and floor.position >= token.position
    standing = context.world.primary().standing()
    assert standing.contains(floor.term, floor.position)


@then('terms floor at "{host}" is none')
def check_no_floor(context: Any, host: str) -> None:
    """Check that a replaced holder gives no floor."""
    assert _floor(context.world, host) is None


@given('terms status answers to "{host}" are held')
def hold_status_answers(context: Any, host: str) -> None:
    """Hold back status answers after the members created them."""
    context.delivery = asyncio.Event()
    for member in context.world.members.values():
        member.held_controls[host] = context.delivery


@when('terms status answers are delivered')
def deliver_status_answers(context: Any) -> None:
    """Deliver the status answers that were held back."""
    context.delivery.set()


@when('terms host "{host}" starts floor query "{label}"')
def start_floor(context: Any, host: str, label: str) -> None:
    """Query a floor in the background."""
    world = context.world
    context.queried_holder = world.hosts[host].holder
    deadline_s = world.clock.monotonic_s() + 1
    work = context.queried_holder.floor('clerk', deadline_s)
    context.tasks[label] = world.start(work)
    world.wait(_TICK_S)


@then('terms floor query "{label}" ends as {expected}')
def check_query(context: Any, label: str, expected: str) -> None:
    """Check whether the query returned a floor."""
    floor = context.world.run(context.tasks[label])
    assert (floor is None) == (expected == 'none'), floor


@given('terms links of "{hosts}" to "{member}" are silent')
def silence_links(context: Any, hosts: str, member: str) -> None:
    """Silence the open control connections of some hosts."""
    context.world.members[member].silent_links |= set(hosts.split())


@when('terms host "{host}" is disconnected from "{member}"')
def disconnect_host(context: Any, host: str, member: str) -> None:
    """Disconnect one host from one member."""
    context.world.members[member].cut_hosts.add(host)


@then('terms holder is not "{host}" and serves writes for {count:d} s')
def check_stable(context: Any, host: str, count: int) -> None:
    """Check that all writes complete and that the term does not change."""
    world = context.world
    primary = world.primary()
    assert primary.granted_to != host
    term = primary.term
    for second in range(count):
        outcome = _probe(world, _PROBE_COUNT + second)
        assert outcome == 'completed', (second, outcome)
        world.wait(1)
    assert world.primary().term == term


@then('terms keeper of "{host}" sees primary of term {term:d} as {expected}')
def check_keeper_answer(
    context: Any, host: str, term: int, expected: str
) -> None:
    """Compare whether the keeper reports the primary as reachable."""
    keeper = context.world.hosts[host].keeper
    is_reachable = context.world.run(keeper.opinion(term))
    assert is_reachable == (expected == 'reachable')


@given('terms hosts restart without a view of the group')
def restart_hosts(context: Any) -> None:
    """Replace all hosts by new ones that know no view."""
    world = context.world
    for host_id in tuple(world.hosts):
        world.hosts[host_id] = FakeHost(host_id, world)
        world.network.hosts[host_id] = world.hosts[host_id].answer


@given('terms replica "{name}" stays at {place}')
def leave_member_behind(context: Any, name: str, place: str) -> None:
    """Let a member adopt a term without a primary, or miss a new term."""
    world = context.world
    if place == 'a higher term':
        world.members[name].adopt(5, 'h9')
        return
    world.cut(name)
    assert world.acquire_term('h1', 'm1')
    world.spread_views()
    world.remove_faults()


@then('terms members are all at one term')
def check_terms(context: Any) -> None:
    """Compare the members' terms."""
    terms = {member.term for member in context.world.members.values()}
    assert len(terms) == 1, terms


@then('terms host "{host}" reports that writes are refused')
def check_degraded(context: Any, host: str) -> None:
    """Check that the group's writes are reported as a degraded path."""
    snapshot = context.world.hosts[host].degraded.snapshot()
    assert 'writes_refused/forge-a' in snapshot, snapshot


@then('terms host "{host}" reports no degraded path')
def check_not_degraded(context: Any, host: str) -> None:
    """Check that the degraded path was cleared."""
    assert not context.world.hosts[host].degraded.snapshot()


@given('terms transaction "{label}" is open at "{host}"')
def open_transaction(context: Any, label: str, host: str) -> None:
    """Begin with a note and confirm that the entry host has the answer."""
    begin_transaction(context, label, host)
    context.holder.confirm_begun(context.transaction_id)


@given('terms transaction "{label}" is open at "{host}" with its answer lost')
def begin_transaction(context: Any, label: str, host: str) -> None:
    """Begin with a note, without confirming the answer."""
    world = context.world
    context.holder = world.hosts[host].holder
    run = build_run(request_id(world, label), (note(label),))
    begun = world.run(context.holder.begin(run))
    assert isinstance(begun, Completed), begun
    context.transaction_id = begun.transaction_id


@when('terms event "{event}" happens')
def apply_event(context: Any, event: str) -> None:
    """Apply an event that affects the open transaction."""
    world = context.world
    if event == 'holder closed':
        context.holder.close()
    match event:
        case 'newer term':
            assert world.acquire_term('h2', 'm1')
        case 'commit answer lost':
            world.members['m1'].loses_commit_answer = True
        case 'primary silent':
            world.cut('m1')
        case 'request settled':
            settle_request(context, 'h1', 'book')
        case 'idle for 60 s' | 'idle for 5 s':
            world.run_keepers()
            world.wait(int(event.split()[2]))
        case 'closed during a call':
            _close_during_call(context)
        case 'bad statement':
            _continue(context, 'INSERT INTO absent VALUES (1)')


def _close_during_call(context: Any) -> None:
    world = context.world
    sql = (Statement('SELECT 1'),)
    work = context.holder.execute(context.transaction_id, sql, _DEADLINE_MS)
    started = world.start(work)
    world.wait(0)
    context.holder.close()
    world.run(started)


def _continue(context: Any, sql: str) -> Outcome:
    work = context.holder.execute(
        context.transaction_id,
        (Statement(sql),),
        _DEADLINE_MS,
    )
    outcome: Outcome = context.world.run(work)
    return outcome


@when('terms transaction "{label}" is {ended}')
def end_transaction(context: Any, label: str, ended: str) -> None:
    """Commit or roll back, or run a statement if it is continued."""
    holder = context.holder
    identity = context.transaction_id
    if ended == 'continued':
        context.outcomes[label] = _continue(context, 'SELECT 1')
        return
    ending = holder.commit if ended == 'committed' else holder.rollback
    work = ending(identity, _DEADLINE_MS)
    context.outcomes[label] = context.world.run(work)
    granted = context.world.hosts['h1'].slots.granted
    assert all(slot.is_released for slot in granted), 'a slot was kept'


@given('terms session table for {limit:d} sessions from position {start:d}')
def build_table(context: Any, limit: int, start: int) -> None:
    """Build a session table with a limit."""
    context.session_table = SessionTable(Floor(1, start), limit)


@when('terms sessions write "{writes}"')
def write_sessions(context: Any, writes: str) -> None:
    """Add writes given as ``session:position`` pairs."""
    for pair in writes.split():
        session_id, position = pair.split(':')
        context.session_table.raise_floor(session_id, int(position))


@then('terms session "{session_id}" has floor position {position:d}')
def check_session(context: Any, session_id: str, position: int) -> None:
    """Compare the session's floor."""
    assert context.session_table.floor(session_id) == Floor(1, position)


@when('terms clock advances by {hours:d} h')
def advance_clock(context: Any, hours: int) -> None:
    """Advance the Unix time, without a pause on the monotonic clock."""
    context.world.clock.skipped_ms += hours * _MS_PER_HOUR


@when('terms host "{host}" deletes expired records')
def delete_expired(context: Any, host: str) -> None:
    """Run the holder's deletion of ledger rows for one second."""
    context.world.start(context.world.hosts[host].holder.run())
    context.world.wait(1)


@then('terms record "{label}" is {state}')
def check_record(context: Any, label: str, state: str) -> None:
    """Check whether the ledger row exists."""
    world = context.world
    query = RequestLedger(world.clock).select(request_id(world, label))
    results = run_sql(world.primary().database(), (query,))
    assert bool(results[0].rows) == (state == 'kept')


@then('terms retry of "{label}" ends as {expected}')
def check_retry(context: Any, label: str, expected: str) -> None:
    """Send the request again and compare the outcome."""
    write_note(context, 'h1', label, 'primary')
    check_outcome(context, label, expected)


@then('terms random histories neither lose nor repeat writes')
def check_random(context: Any) -> None:
    """Run the randomised property test."""
    assert check_histories() > 0, 'no write completed'
