"""Steps of draining.feature that run a deployment of real processes."""

import asyncio
import signal
import time
from typing import Any, Final

import aiohttp
import attrs
from behave import given, then, when

from features.builders import gather_all
from features.live_stream import LiveStream
from features.live_world import DEADLINE_MS, LiveWorld, live_world
from loadtool.deployed_host import DeployedHost
from loadtool.deployment import PEER_SECRET
from mimosapond import codec
from mimosapond.address_translator import AddressTranslator
from mimosapond.completed import Completed
from mimosapond.durability import Durability
from mimosapond.json_peers import JsonPeers
from mimosapond.peer_results import PeerAnswered
from mimosapond.peer_run import PeerRun
from mimosapond.refused import Refused

# Takes longer than the shutdown of a host without open work.
_PEER_READ: Final = 'SELECT /* cost_ms=3000 */ 1'
# Shorter than the read, so the member must report the age of its data until the
# read ends.
_PEER_READ_MAX_AGE_MS: Final = 2200
_LONG_READ: Final = 'SELECT /* cost_ms=1200 */ 1'
# A leaving target gets no new work later than this after the mark (invariant 7).
_LEAVING_LIMIT_S: Final = 3.0
_OBSERVATION_S: Final = 1.0
_REFUSED_DEADLINE_MS: Final = 2000
_EXIT_LIMIT_S: Final = 30


@given('draining deployment of {count:d} hosts')
def start_deployment(context: Any, count: int) -> None:
    """Start a deployment of real processes for the scenario."""
    world = live_world(context, count)
    context.old_primary = world.primary()


@given('draining members replicate with a lag of {lag_ms:d} ms')
def set_lag(context: Any, lag_ms: int) -> None:
    """Set the replication lag of all members of the group."""
    world: LiveWorld = context.live
    for member in world.deployment.groups[0].members:
        world.run(
            world.deployment.set_member_settings(member.name, lag_ms=lag_ms)
        )


@given('draining stream with writes of durability "{durability}"')
def start_stream(context: Any, durability: str) -> None:
    """Start to send writes and reads through all hosts."""
    context.stream = LiveStream(
        context.live,
        durability=Durability(durability),
        repeatable=True,
    )
    context.live.run(asyncio.sleep(_OBSERVATION_S))


@given('draining log shipping of the primary is stopped')
@when('draining log shipping of the primary is stopped')
def stop_shipping(context: Any) -> None:
    """Stop the replication of new log entries from the primary."""
    _set_shipping(context, is_paused=True)


@when('draining log shipping of the primary is resumed')
def resume_shipping(context: Any) -> None:
    """Resume the replication from the primary."""
    _set_shipping(context, is_paused=False)


@given('draining write "{row}" of durability "{durability}" is completed')
@when('draining write "{row}" of durability "{durability}" is completed')
@then('draining write "{row}" of durability "{durability}" is completed')
def check_write(context: Any, row: str, durability: str) -> None:
    """Write a row and check that the write is completed."""
    world: LiveWorld = context.live
    request = world.insert(row, durability=Durability(durability))
    outcome = world.run(world.post(world.hosts[-1], request))
    assert isinstance(outcome, Completed), outcome


@given('draining transaction is open')
def open_transaction(context: Any) -> None:
    """Begin a transaction through a host that does not hold the term."""
    world: LiveWorld = context.live
    context.holder = world.holder()
    context.entries = world.others(context.holder)
    request = world.begin(durability=Durability.PRIMARY)
    address = context.entries[0].caller_address
    outcome = world.run(world.client.begin(address, request))
    assert isinstance(outcome, Completed), outcome
    context.transaction_id = outcome.transaction_id
    context.begin_id = request.request_id


@when('draining operators mark the primary as leaving')
def mark_primary(context: Any) -> None:
    """Mark the primary through a host that does not hold the term."""
    world: LiveWorld = context.live
    host = world.others(world.holder())[0]
    path = f'/v1/targets/{context.old_primary}/drain'
    context.marked_s = time.monotonic()
    answer = world.run(world.deployment.operate(host, 'POST', path))
    assert answer['outcome'] == 'completed', answer


@then('draining primary is another member within {limit_s:d} s')
def check_moved(context: Any, limit_s: int) -> None:
    """Wait until another member is the primary."""
    world: LiveWorld = context.live
    world.wait_until(
        lambda: world.primary() != context.old_primary,
        limit_s,
    )


@then('draining old primary gets no statement later than 3 s after the mark')
def check_no_work(context: Any) -> None:
    """Check that the member's statement count stays the same under load."""
    world: LiveWorld = context.live
    remaining_s = context.marked_s + _LEAVING_LIMIT_S - time.monotonic()
    world.run(asyncio.sleep(max(0, remaining_s)))
    before = _statement_count(context)
    world.run(asyncio.sleep(_OBSERVATION_S))
    assert _statement_count(context) == before


@then('draining write is refused as "{reason}" 3 s after the mark')
def check_refused(context: Any, reason: str) -> None:
    """Compare the reason of the refusal once the limit has passed."""
    world: LiveWorld = context.live
    remaining_s = context.marked_s + _LEAVING_LIMIT_S - time.monotonic()
    world.run(asyncio.sleep(max(0, remaining_s)))
    request = world.insert('refused', deadline_ms=_REFUSED_DEADLINE_MS)
    outcome = world.run(world.post(world.hosts[0], request))
    assert isinstance(outcome, Refused), outcome
    assert outcome.reason == reason, outcome


@then('draining transaction commits the row "{row}"')
def commit_transaction(context: Any, row: str) -> None:
    """Run a statement through one host and commit through another."""
    world: LiveWorld = context.live
    steps = (('statements', (row,)), ('commit', ()))
    for host, (operation, rows) in zip(context.entries, steps, strict=False):
        outcome = world.run(
            world.transact(
                host,
                context.transaction_id,
                operation,
                *rows,
                request_id=context.begin_id,
            ),
        )
        assert isinstance(outcome, Completed), outcome
    world.acknowledged.add(row)


@then('draining stream is completed without a failure')
def check_stream(context: Any) -> None:
    """Stop the stream and check that each of its requests is completed."""
    failures = context.stream.failures()
    assert not failures, (len(failures), failures[:3])


@then('draining primary holds every acknowledged write')
def check_nothing_lost(context: Any) -> None:
    """Check that the primary's log holds all acknowledged rows."""
    world: LiveWorld = context.live
    assert world.acknowledged
    assert not world.missing()


@when('draining operators promote both replicas at once')
def promote_both(context: Any) -> None:
    """Send two promotions at the same time through two hosts."""
    world: LiveWorld = context.live
    names = _replicas(context)
    calls = (
        _promote(context, host, name)
        for host, name in zip(world.hosts, names, strict=False)
    )
    context.answers = dict(
        zip(names, world.run(gather_all(*calls)), strict=True),
    )


@then('draining one promotion is completed and one is "{reason}"')
def check_one_completed(context: Any, reason: str) -> None:
    """Compare the results of both promotions."""
    results = sorted(
        answer.get('reason', answer['outcome'])
        for answer in context.answers.values()
    )
    assert results == sorted(['completed', reason]), context.answers


@then('draining primary is the promoted member')
def check_promoted(context: Any) -> None:
    """Check that the member whose promotion was completed is the primary."""
    promoted = next(
        name
        for name, answer in context.answers.items()
        if answer['outcome'] == 'completed'
    )
    assert context.live.primary() == promoted


@when('draining operators promote a replica')
def promote_one(context: Any) -> None:
    """Promote a member whose log is not complete."""
    world: LiveWorld = context.live
    context.old_primary = world.primary()
    call = _promote(context, world.hosts[0], _replicas(context)[0])
    context.answer = world.run(call)


@then('draining promotion is refused as "{reason}"')
def check_promotion_refused(context: Any, reason: str) -> None:
    """Compare the reason and check that the primary did not change."""
    assert context.answer.get('reason') == reason, context.answer
    assert context.live.primary() == context.old_primary


@given('draining long reads are in flight through all hosts')
def send_long_reads(context: Any) -> None:
    """Send reads that still run when a host is stopped."""
    world: LiveWorld = context.live
    for host in world.hosts:
        context.stream.add(host, _LONG_READ)
    world.run(asyncio.sleep(0.3))


@given('draining long read of another host is in flight at {host}')
def send_peer_read(context: Any, host: str) -> None:
    """Send a peer call with a read of a member that the host owns."""
    world: LiveWorld = context.live
    context.stopped = context.holder = world.holder()
    member = world.primary()
    if host == "a replica's owner":
        context.stopped = _replica_owner(context, context.holder)
        status = world.run(world.deployment.status(context.stopped))
        member = status['members'][0]['name']
    context.peer_read = world.loop.create_task(
        _peer_read(world, context.stopped, member),
    )
    world.run(asyncio.sleep(0.3))


@when('draining host is stopped by {way}')
def stop_host(context: Any, way: str) -> None:
    """Stop a host gracefully and send new requests to other hosts."""
    world: LiveWorld = context.live
    if 'stopped' not in context:
        context.stopped = world.holder()
    child = world.deployment.processes.children[context.stopped.name]
    if way == 'SIGTERM':
        child.send_signal(signal.SIGTERM)
    elif way == "the platform's list":
        world.run(_list_as_leaving(world, context.stopped))
    else:
        call = world.deployment.operate(context.stopped, 'POST', '/v1/drain')
        assert world.run(call)['outcome'] == 'completed'
    if 'stream' in context:
        context.stream.avoid(context.stopped)


async def _list_as_leaving(world: LiveWorld, host: DeployedHost) -> None:
    status = await world.deployment.status(host)
    record = status['host']
    listed = {
        'host_id': record['host_id'],
        'address': record['address'],
        'data_centre': record['data_centre'],
        'state': 'leaving',
    }
    address = world.deployment.platform_address
    url = f'http://{address}/hosts/{record["host_id"]}'
    async with aiohttp.ClientSession() as session:
        async with session.put(url, json=listed) as answer:
            answer.raise_for_status()


@given('draining half of a request was sent to the holder')
def send_half(context: Any) -> None:
    """Send headers and the first half of the body."""
    world: LiveWorld = context.live
    context.body = codec.dump_json(
        _without_none(codec.encode(world.read('SELECT 1'))),
    ).encode()
    context.half = len(context.body) // 2
    context.streams = world.run(
        _send_half(world.holder(), context.body, context.half),
    )


@then('draining request is answered when its other half arrives 2 s later')
def send_rest(context: Any) -> None:
    """Send the rest of the body after the other work of the host has ended."""
    world: LiveWorld = context.live
    world.run(asyncio.sleep(2))
    rest = context.body[context.half :]
    status = world.run(_send_rest(context.streams, rest))
    assert status.startswith(b'HTTP/1.1 200'), status


@then('draining stopped host answers with the header "Connection: close"')
def check_close_header(context: Any) -> None:
    """Send a request to the stopping host and check the answer's header."""
    world: LiveWorld = context.live
    header = world.run(_connection_header(world, context.stopped))
    assert header == 'close', header


@then('draining stopped host exits with code 0')
def check_exit(context: Any) -> None:
    """Wait until the process has exited and compare its exit code."""
    world: LiveWorld = context.live
    child = world.deployment.processes.children[context.stopped.name]
    world.wait_until(lambda: child.exit_code is not None, _EXIT_LIMIT_S)
    assert child.exit_code == 0, child.exit_code


@then('draining group was handed over before the exit')
def check_handed_over(context: Any) -> None:
    """Check that one of the remaining hosts holds the term."""
    world: LiveWorld = context.live
    assert world.holder() != context.stopped


@then('draining long read of another host is completed')
def check_peer_read(context: Any) -> None:
    """Check that the owner answered before it closed the connection."""
    answer = context.live.run(context.peer_read)
    assert isinstance(answer, PeerAnswered), answer
    assert answer.body['outcome'] == 'completed', answer


@when('draining second transaction begins during the stop')
def begin_during_stop(context: Any) -> None:
    """Begin through another host without waiting for the answer."""
    world: LiveWorld = context.live
    world.run(asyncio.sleep(0.5))
    address = context.entries[1].caller_address
    context.begin = world.loop.create_task(
        world.client.begin(address, world.begin()),
    )
    world.run(asyncio.sleep(0.5))


@then('draining second transaction is open at another host')
def check_begun_elsewhere(context: Any) -> None:
    """Check that the begin was retried at the new holder of the term."""
    outcome = context.live.run(context.begin)
    assert isinstance(outcome, Completed), outcome
    host_id = str(outcome.transaction_id).split('/')[1]
    assert not host_id.startswith(f'{context.stopped.name}.'), outcome


def _set_shipping(context: Any, *, is_paused: bool) -> None:
    world: LiveWorld = context.live
    world.run(
        world.deployment.set_member_settings(
            world.primary(), ship_paused=is_paused
        ),
    )


def _statement_count(context: Any) -> int:
    world: LiveWorld = context.live
    log = world.run(world.deployment.member_log(context.old_primary))
    return int(log['counters']['statement_count'])


def _replicas(context: Any) -> list[str]:
    world: LiveWorld = context.live
    primary = world.primary()
    members = world.deployment.groups[0].members
    return [member.name for member in members if member.name != primary]


def _replica_owner(context: Any, holder: DeployedHost) -> DeployedHost:
    world: LiveWorld = context.live
    for host in world.others(holder):
        if world.run(world.deployment.status(host))['members']:
            return host
    raise AssertionError('the holder owns all members')


async def _peer_read(world: LiveWorld, host: DeployedHost, member: str) -> Any:
    peers = JsonPeers(PEER_SECRET, 1, AddressTranslator(()))
    run = PeerRun(
        attrs.evolve(world.read(_PEER_READ), max_age_ms=_PEER_READ_MAX_AGE_MS),
        world.group,
        member,
    )
    try:
        return await peers.call(
            host.peer_address,
            'run',
            codec.encode(run),
            DEADLINE_MS,
        )
    finally:
        peers.close()


async def _promote(context: Any, host: DeployedHost, member: str) -> Any:
    world: LiveWorld = context.live
    return await world.deployment.operate(
        host,
        'POST',
        f'/v1/groups/{world.group}/promote',
        {'member': member},
    )


def _without_none(fields: dict[str, Any]) -> dict[str, Any]:
    return {name: field for name, field in fields.items() if field is not None}


async def _send_half(host: DeployedHost, body: bytes, half: int) -> Any:
    address, port = host.caller_address.split(':')
    reader, writer = await asyncio.open_connection(address, int(port))
    head = (
        f'POST /v1/statements HTTP/1.1\r\nHost: {host.caller_address}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body[:half])
    await writer.drain()
    return reader, writer


async def _send_rest(streams: Any, rest: bytes) -> bytes:
    reader, writer = streams
    writer.write(rest)
    await writer.drain()
    status: bytes = await reader.readline()
    writer.close()
    return status


async def _connection_header(
    world: LiveWorld,
    host: DeployedHost,
) -> str | None:
    request = world.read('SELECT 1')
    fields = _without_none(codec.encode(request))
    url = f'http://{host.caller_address}/v1/statements'
    timeout = aiohttp.ClientTimeout(total=DEADLINE_MS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.post(url, json=fields) as answer:
            await answer.read()
            return answer.headers.get('Connection')
