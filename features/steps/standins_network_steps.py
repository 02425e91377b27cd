"""Platform, fault proxy and process steps of standins.feature."""

import asyncio
import json
import os
from typing import Any

import attrs
from behave import given, then, when
from tornado.httpclient import HTTPClientError

from features.standins_fakes import TIMEOUT_S, StandinRig
from standins.fault_proxy_faults import LinkFaults
from standins.member_settings import MemberSettings
from standins.processes import Processes, free_addresses

_BOOLEAN_FAULTS = ('down', 'silent')
_DELAY_MS = 20
_DELAY_S = 0.02


def _rig(context: Any) -> StandinRig:
    context.rig = StandinRig()
    context.add_cleanup(context.rig.close)
    return context.rig


def _fetch(context: Any, path: str, *request: Any) -> Any:
    rig = context.rig
    return rig.run(rig.fetch(context.platform, path, *request))


@given('a platform that loses the answer of the next write')
@given('a platform that loses the answer of the next {count:d} writes')
def start_platform(context: Any, count: int = 1) -> None:
    """Start the platform and set the number of lost answers."""
    rig = _rig(context)
    context.platform = rig.run(rig.start_platform())
    set_fault(context, 'lose_answers', count)


@when('platform faults are set to "{name}" {amount:d}')
def set_fault(context: Any, name: str, amount: int) -> None:
    """Set one fault and keep the others."""
    faults = {name: bool(amount) if name in _BOOLEAN_FAULTS else amount}
    answer = _fetch(context, '/admin/faults', 'POST', faults)
    assert answer.code == 200, answer


def _write(context: Any, key: str, revision: int, *timeout_s: float) -> int:
    change = {'expected_revision': revision, 'value': {'text': 'x'}}
    answer = _fetch(context, f'/table/{key}', 'PUT', change, *timeout_s)
    return int(answer.code)


@when(
    'platform row "{key}" is written at revision {revision:d} without an answer'
)
def write_unanswered(context: Any, key: str, revision: int) -> None:
    """Write a row and expect the client to time out."""
    try:
        # Long enough for the write to arrive before the client times out.
        code = _write(context, key, revision, 2)
    except HTTPClientError as error:
        code = error.code
    assert code == 599, code


@then('platform row "{key}" written at revision {revision:d} answers {code:d}')
def check_write(context: Any, key: str, revision: int, code: int) -> None:
    """Write a row and compare the HTTP status."""
    seen = _write(context, key, revision)
    assert seen == code, seen


@then('platform row "{key}" has revision {revision:d}')
def check_row(context: Any, key: str, revision: int) -> None:
    """Read a row and compare its revision."""
    row = json.loads(_fetch(context, f'/table/{key}').body)
    assert row['revision'] == revision, row


@when('platform host "{host_id}" is registered')
def register_host(context: Any, host_id: str) -> None:
    """Register a live host."""
    host = {'address': '127.0.0.1:1', 'data_centre': 'a', 'state': 'live'}
    answer = _fetch(context, f'/hosts/{host_id}', 'PUT', host)
    assert answer.code == 200, answer


@then('the platform lists {count:d} hosts')
def check_hosts(context: Any, count: int) -> None:
    """Read the host list and compare its length."""
    hosts = json.loads(_fetch(context, '/hosts').body)
    assert len(hosts) == count, hosts


async def _connect(address: str) -> Any:
    host, port = address.split(':')
    return await asyncio.open_connection(host, int(port))


async def _echo(side: Any, text: bytes) -> bytes:
    reader, writer = side
    writer.write(text)
    received = b''
    async with asyncio.timeout(TIMEOUT_S):
        while len(received) < len(text):
            chunk = await reader.read(100)
            if not chunk:
                break
            received += chunk
    return received


@given('a fault proxy with an open connection')
def start_proxy(context: Any) -> None:
    """Start a proxy with an echo server and use one connection."""
    rig = _rig(context)
    target = rig.run(rig.start_echo())
    proxy, listen = rig.run(rig.start_proxy(target))
    context.proxy = proxy
    context.listen = listen
    context.side = rig.run(_connect(context.listen))
    assert rig.run(_echo(context.side, b'before')) == b'before'


@when('the fault proxy applies "{fault}"')
def apply_fault(context: Any, fault: str) -> None:
    """Put one fault into force."""
    context.faults = LinkFaults()
    if fault == 'silent':
        context.proxy.silence_connections()
        return
    amount = 3 if fault == 'truncate_after_bytes' else _DELAY_MS
    value = True if fault.startswith('cut') else amount
    context.faults = attrs.evolve(context.faults, **{fault: value})
    context.proxy.apply_faults(context.faults)


async def _is_quiet(side: Any) -> bool:
    side[1].write(b'question')
    try:
        await asyncio.wait_for(side[0].read(1), 0.1)
    except TimeoutError:
        return True
    return False


async def _is_reset(side: Any) -> bool:
    try:
        return await _echo(side, b'question') == b''
    except ConnectionError:
        return True


async def _echoes_after_cut(context: Any, side: Any) -> bool:
    is_quiet = await _is_quiet(side)
    context.proxy.apply_faults(LinkFaults())
    echoed = await _echo(side, b'')
    while len(echoed) < len(b'question'):
        echoed += await side[0].read(100)
    context.proxy.apply_faults(context.faults)
    return is_quiet and echoed == b'question'


async def _is_late(side: Any) -> bool:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    echoed = await _echo(side, b'question')
    return echoed == b'question' and loop.time() - started_s >= 2 * _DELAY_S


async def _has_behaviour(context: Any, side: Any, behaviour: str) -> bool:
    match behaviour:
        case 'echoes':
            return await _echo(side, b'question') == b'question'
        case 'echoes late':
            return await _is_late(side)
        case 'echoes 3 bytes':
            return await _echo(side, b'question') == b'que'
        case 'stays silent':
            return await _is_quiet(side)
        case 'is reset':
            return await _is_reset(side)
    return await _echoes_after_cut(context, side)


@then('the open fault proxy connection "{behaviour}"')
def check_open(context: Any, behaviour: str) -> None:
    """Check a connection that was open before the fault."""
    assert context.rig.run(_has_behaviour(context, context.side, behaviour))


@then('a new fault proxy connection "{behaviour}"')
def check_new(context: Any, behaviour: str) -> None:
    """Check a connection that is opened under the fault."""
    side = context.rig.run(_connect(context.listen))
    assert context.rig.run(_has_behaviour(context, side, behaviour))


@then('without faults a new fault proxy connection "{behaviour}"')
def check_without_faults(context: Any, behaviour: str) -> None:
    """Remove the faults and check a new connection."""
    context.proxy.apply_faults(LinkFaults())
    check_new(context, behaviour)


async def _start_all(process_ids: list[int]) -> None:
    addresses = free_addresses(4)
    links = {'member': (addresses[0], addresses[1])}
    async with Processes() as processes:
        await processes.start_platform(addresses[2])
        await processes.start_fault_proxy(addresses[3], links)
        member = await processes.start_member(
            MemberSettings('m1', 'forge-a', addresses[1], primary=True),
        )
        member.pause()
        children = processes.children.values()
        process_ids.extend(child.process_id for child in children)
        raise ValueError('the block fails')


@when(
    'stand-in processes are started and one is paused and the block fails',
)
def fail_block(context: Any) -> None:
    """Leave the context manager with an error."""
    context.process_ids = []
    try:
        asyncio.run(_start_all(context.process_ids))
    except ValueError as error:
        context.failure = str(error)


def _exists(process_id: int) -> bool:
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


@then('no stand-in process is running')
def check_ended(context: Any) -> None:
    """Check that no process with one of the ids exists."""
    assert len(context.process_ids) == 3, context.failure
    left = [each for each in context.process_ids if _exists(each)]
    assert not left, left


async def _start_faulty() -> None:
    address = free_addresses(1)[0]
    flags = ['--colour=red', f'--address={address}']
    url = f'http://{address}/admin/log'
    async with Processes() as processes:
        await processes.start('faulty', 'standins.member', flags, url)


@when('a stand-in process is started with an unknown setting')
def start_faulty(context: Any) -> None:
    """Start a member that fails at its start."""
    context.failure = ''
    try:
        asyncio.run(_start_faulty())
    except RuntimeError as error:
        context.failure = str(error)


@then('the stand-in failure contains "{text}"')
def check_failure(context: Any, text: str) -> None:
    """Look for a text in the message."""
    assert text in context.failure, context.failure
