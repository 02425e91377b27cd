"""Steps of workspaces.feature."""

import asyncio
import functools
import json
from typing import Any, Final

import attrs
from behave import given, then, when
from loguru import logger

from features.group_builders import GroupWorld, build_configuration, build_route
from features.group_builders import build_world
from features.workspace_builders import (
    RecordingReads,
    build_stored_configuration,
    build_workspace_configuration,
    exchange_lines,
    open_keyed_session,
)
from mimosapond.configuration.configuration import Configuration
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.platform.configuration_codec import decode_configuration

_VERSION: Final = 2
_ROUND_S: Final = 0.06
_SETTLE_S: Final = 0.05


@when('the stored workspaces {tenants} are decoded')
def decode_tenants(context: Any, tenants: str) -> None:
    """Decode a configuration with these workspaces."""
    content = build_stored_configuration(tenants)
    context.decoded = decode_configuration(content)


@then('the decoded workspaces are {verdict}')
def check_workspaces(context: Any, verdict: str) -> None:
    """Check for a problem without keys, or the number of workspaces."""
    decoded = context.decoded
    assert 'secretkey' not in repr(decoded), decoded
    if verdict == 'refused':
        assert isinstance(decoded, str), decoded
        return
    assert isinstance(decoded, Configuration), decoded
    if verdict == 'none':
        assert decoded.workspaces is None
    else:
        assert len(decoded.workspaces or ()) == int(verdict), decoded


@when('a stored route with anonymous {content} is decoded')
def decode_route(context: Any, content: str) -> None:
    """Decode a configuration with one route."""
    route = {
        'host': 'book',
        'service': 'orders',
        'kind': 'primary',
        'timeout_ms': 100,
    }
    if content != 'absent':
        route['anonymous'] = json.loads(content)
    body = json.loads(build_stored_configuration('absent'))
    body['routes'] = [route]
    context.decoded = decode_configuration(json.dumps(body).encode())


@then('the decoded route is {verdict}')
def check_route(context: Any, verdict: str) -> None:
    """Check for a problem, or whether the route is anonymous."""
    decoded = context.decoded
    if verdict == 'refused':
        assert isinstance(decoded, str), decoded
        return
    is_anonymous = decoded.routes['book'].is_anonymous
    assert is_anonymous == (verdict == 'anonymous'), decoded


def _build_world(configuration: Configuration) -> GroupWorld:
    world = build_world()
    world.services.configuration.activate(configuration)
    return world


@given('a host whose configuration has no workspaces')
def build_host_without_workspaces(context: Any) -> None:
    """Build a host of a deployment without workspaces."""
    configuration = build_configuration(build_route(), _VERSION)
    context.world = _build_world(configuration)
    context.registry = SessionRegistry(context.world.services)


@given('a host whose configuration has key {key}')
def build_host(context: Any, key: str) -> None:
    """Build a host with one workspace; its route may be anonymous."""
    word, _, rest = key.partition(' ')
    configuration = build_workspace_configuration(
        _VERSION, [word], is_anonymous='anonymous' in rest
    )
    context.world = _build_world(configuration)
    context.registry = SessionRegistry(context.world.services)


@given('its reads are recorded')
def record_reads(context: Any) -> None:
    """Record the work of reads instead of running it, and all log lines."""
    context.reads = RecordingReads()
    services = attrs.evolve(context.world.services, reads=context.reads)
    context.registry = SessionRegistry(services)
    context.log_lines = []
    sink = logger.add(
        context.log_lines.append, level=0, format='{message} {extra}'
    )
    context.add_cleanup(logger.remove, sink)


@when('a caller with a key exchanges {lines}')
def exchange(context: Any, lines: str) -> None:
    """Send lines over a connection of their own."""
    context.received = asyncio.run(exchange_lines(context.registry, lines))


@then('the caller with a key receives {answer}')
def check_received(context: Any, answer: str) -> None:
    """Check the answer, and that a refusal closes the connection."""
    received = context.received
    assert received.startswith(answer), received
    assert received.endswith('closed') == answer.startswith('ERROR'), received


@then('the recorded work names workspace {workspace} and version {version:d}')
def check_recorded(context: Any, workspace: str, version: int) -> None:
    """Check the only recorded work."""
    works = context.reads.works
    expected = '' if workspace == 'nobody' else workspace
    assert [work.workspace for work in works] == [expected], works
    assert works[0].configuration_version == version, works


@then('no log line, session or work contains {text}')
def check_absent(context: Any, text: str) -> None:
    """Search what was logged and what the host keeps."""
    assert any('caller' in line for line in context.log_lines)
    kept = [
        *context.log_lines,
        context.received,
        repr(context.reads.works),
        repr(context.world.services.configuration.current),
        repr(open_keyed_session(context.world, f'top{text}').__dict__),
    ]
    assert all(text not in each for each in kept), kept


def _open_session(context: Any, *, is_strict: bool) -> None:
    configuration = build_workspace_configuration(_VERSION, ['k1', 'k2'])
    world = _build_world(configuration)
    world.services = attrs.evolve(
        world.services, is_revocation_strict=is_strict
    )
    context.world = world
    context.registry = SessionRegistry(world.services)
    context.closed = []
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_clean_up, context)
    context.session = open_keyed_session(world, 'k1')
    _register(context, context.session, 'first')
    context.loop.run_until_complete(
        world.probe.ask(world.group, world.group.members['p'])
    )


def _register(context: Any, session: Any, name: str) -> None:
    close = functools.partial(context.closed.append, name)
    context.registry.register(session, close)


def _clean_up(context: Any) -> None:
    context.loop.run_until_complete(_end(context.session))
    context.loop.close()


async def _end(session: Any) -> None:
    session.close()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@given('a session whose key k1 is in force')
def open_session(context: Any) -> None:
    """Open a session whose open transactions outlive its key."""
    _open_session(context, is_strict=False)


@given('a session whose key k1 is in force, with strict revocation')
def open_strict_session(context: Any) -> None:
    """Open a session whose open transactions end with its key."""
    _open_session(context, is_strict=True)


@given('a second session with key {key}')
def open_second(context: Any, key: str) -> None:
    """Open a session beside the first one."""
    session = open_keyed_session(context.world, key)
    _register(context, session, 'second')


@when('a new version has key {key}')
def activate(context: Any, key: str) -> None:
    """Put a version with this key only in force."""
    active = context.world.services.configuration
    version = active.version + 1
    active.activate(build_workspace_configuration(version, [key]))


@when('the regular round of the host runs {count:d} times')
def run_rounds(context: Any, count: int) -> None:
    """Do what the host does with sessions in each round."""
    context.loop.run_until_complete(_run_rounds(context.registry, count))


async def _run_rounds(registry: SessionRegistry, count: int) -> None:
    for _ in range(count):
        registry.close_revoked()
        registry.close_idle()
        await asyncio.sleep(_ROUND_S)


@then('the transaction was rolled back at the primary')
def check_rolled_back(context: Any) -> None:
    """Check that the primary rolled back after the write."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    statements = context.world.fakes['p'].executed_statements
    assert statements[-1] == 'ROLLBACK', statements


@then('the closed sessions are {names}')
def check_closed(context: Any, names: str) -> None:
    """Check which sessions were closed; each may be closed repeatedly."""
    found = set(context.closed)
    assert found == ({names} - {'none'}), context.closed
