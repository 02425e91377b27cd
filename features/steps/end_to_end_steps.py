"""Steps of end_to_end.feature."""

import asyncio
from typing import Any, Final

import attrs
from behave import given, then, when

from features.live_deployment import LiveDeployment, use_deployment
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.refused import Refused
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.unknown import Unknown

_WRITE_COUNT: Final = 40
_EARLY_COUNT: Final = 20


@given('a live deployment of {count:d} hosts')
def start_deployment(context: Any, count: int) -> None:
    """Start the processes once per feature and restart ended hosts."""
    live = use_deployment(context, count)
    for host in live.deployment.hosts:
        if live.deployment.processes.children[host.name].exit_code is not None:
            live.run(live.deployment.start_host(host))
    live.run(live.deployment.wait_serving())


@when(
    'a live session writes through host {writer:d} and reads through '
    'host {reader:d} {how}',
)
def write_and_read(context: Any, writer: int, reader: int, how: str) -> None:
    """Write one row and read it back."""
    live: LiveDeployment = context.live
    row_id = live.row_id()
    written = live.run(
        live.client.run(
            live.host(writer).caller_address,
            live.requests.insert(live.workspace, row_id, session_id=row_id),
        ),
    )
    assert isinstance(written, Completed), written
    scope = {'session_id': row_id}
    if how == 'with its token':
        scope = {'token': written.token or ''}
    context.read = live.run(
        live.client.run(
            live.host(reader).caller_address,
            live.requests.count(live.workspace, row_id, **scope),
        ),
    )


@then('the live read returns the written row')
def check_read(context: Any) -> None:
    """Check that the read found the row."""
    assert isinstance(context.read, Completed), context.read
    assert context.read.results[0].rows == ((1,),), context.read


@when('the same live write is sent {count:d} times through all hosts')
def send_again(context: Any, count: int) -> None:
    """Send the same request id several times."""
    live: LiveDeployment = context.live
    context.request = live.requests.insert(live.workspace, live.row_id())
    hosts = live.deployment.hosts
    context.answers = [
        live.run(
            live.client.run(
                hosts[number % len(hosts)].caller_address,
                context.request,
            ),
        )
        for number in range(count)
    ]


@then('every live answer is completed and {count:d} of them are replayed')
def check_replayed(context: Any, count: int) -> None:
    """Count the replayed answers."""
    assert all(isinstance(answer, Completed) for answer in context.answers)
    assert sum(answer.replayed for answer in context.answers) == count
    assert len({answer.results for answer in context.answers}) == 1


@then('the live row was written once')
def check_once(context: Any) -> None:
    """Check that the primary's log has the row once."""
    row_id = context.request.statements[0].parameters[0]
    assert _count_in_log(context.live, row_id) == 1


@when('the outcome of a live write is settled before it arrives')
def settle_first(context: Any) -> None:
    """Settle the outcome, then send the request."""
    live: LiveDeployment = context.live
    request = live.requests.insert(live.workspace, live.row_id())
    query = OutcomeQuery(
        request.service,
        request.workspace,
        request.request_id,
    )
    address = live.host(0).caller_address
    context.settled = live.run(live.client.settle(address, query))
    context.late = live.run(live.client.run(address, request))


@then('the live settlement is refused as {reason}')
def check_settled(context: Any, reason: str) -> None:
    """Check the settled outcome."""
    assert isinstance(context.settled, Refused), context.settled
    assert context.settled.reason == reason


@then('the late live write is refused as {reason}')
def check_late(context: Any, reason: str) -> None:
    """Check the write that arrived after its settlement."""
    assert isinstance(context.late, Refused), context.late
    assert context.late.reason == reason


@when(
    'host {victim:d} is killed while live writes run through host {entry:d}',
)
def kill_host(context: Any, victim: int, entry: int) -> None:
    """Start writes, kill a host while some run, and start the rest."""
    live: LiveDeployment = context.live
    requests = [
        attrs.evolve(
            live.requests.insert(live.workspace, live.row_id()),
            deadline_ms=4000,
        )
        for _ in range(_WRITE_COUNT)
    ]
    outcomes = live.run(_write_and_kill(live, requests, victim, entry))
    context.writes = list(zip(requests, outcomes, strict=True))


async def _write_and_kill(
    live: LiveDeployment,
    requests: list[StatementRequest],
    victim: int,
    entry: int,
) -> list[Outcome]:
    address = live.host(entry).caller_address
    early = [
        asyncio.create_task(live.client.run(address, request))
        for request in requests[:_EARLY_COUNT]
    ]
    # However slow the machine is, some writes end before the kill.
    await asyncio.wait(early, return_when=asyncio.FIRST_COMPLETED)
    name = live.host(victim).name
    await live.deployment.processes.children[name].kill()
    late = [
        asyncio.create_task(live.client.run(address, request))
        for request in requests[_EARLY_COUNT:]
    ]
    return await asyncio.gather(*early, *late)


@then('every live write ended in one of the three outcomes')
def check_outcomes(context: Any) -> None:
    """Check that some writes completed and none ended otherwise."""
    outcomes = [outcome for _request, outcome in context.writes]
    assert all(
        isinstance(one, (Completed, Refused, Unknown)) for one in outcomes
    )
    assert any(isinstance(one, Completed) for one in outcomes), outcomes


@then('each completed live write is in the log exactly once')
def check_completed(context: Any) -> None:
    """Compare the acknowledged writes with the surviving log."""
    for request, outcome in context.writes:
        row_id = request.statements[0].parameters[0]
        count = _count_in_log(context.live, row_id)
        assert count <= 1, (row_id, count)
        if isinstance(outcome, Completed):
            assert count == 1, (row_id, outcome)


@then('each refused live write is not in the log')
def check_refused(context: Any) -> None:
    """Compare the refused writes with the surviving log."""
    for request, outcome in context.writes:
        if isinstance(outcome, Refused):
            row_id = request.statements[0].parameters[0]
            assert not _count_in_log(context.live, row_id), outcome


def _count_in_log(live: LiveDeployment, row_id: str) -> int:
    primary = live.run(live.deployment.primary(live.group))
    log = live.run(live.deployment.member_log(primary))
    return sum(
        statement['sql'].startswith('INSERT INTO orders')
        and statement['parameters'][0] == row_id
        for entry in log['entries']
        for statement in entry['statements']
    )


@when('a live write that fails is sent as a later attempt of its request id')
def send_later_attempt(context: Any) -> None:
    """Send a statement that the target rejects."""
    live: LiveDeployment = context.live
    request = attrs.evolve(
        live.requests.insert(live.workspace, live.row_id()),
        statements=(Statement('INSERT INTO absent VALUES (1)'),),
        may_have_run=True,
    )
    address = live.host(0).caller_address
    context.later = live.run(live.client.run(address, request))
    query = OutcomeQuery(
        request.service,
        request.workspace,
        request.request_id,
    )
    context.settled = live.run(live.client.settle(address, query))


@then('the later live attempt is unknown')
def check_later(context: Any) -> None:
    """Check that the refusal is not reported as the outcome."""
    assert isinstance(context.later, Unknown), context.later


@then('settling the later live attempt gives {reason}')
def check_later_settled(context: Any, reason: str) -> None:
    """Check the settled outcome."""
    assert isinstance(context.settled, Refused), context.settled
    assert context.settled.reason == reason, context.settled
