"""Steps of workspaces.feature for work that another host carries out."""

import asyncio
from typing import Any, Final

import attrs
from behave import given, then, when

from features.group_builders import DATABASE, GROUP, build_route, build_world
from features.relay_builders import RelayingPair, build_pair
from features.workspace_builders import (
    build_work,
    build_workspace_configuration,
    open_keyed_session,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration
from mimosapond.peers.work_codec import decode_work, encode_work
from mimosapond.peers.work_renewal import renew_work
from mimosapond.routing.work import Work

_TIMEOUT_MS: Final = 800
_CONNECT_DELAY_S: Final = 0.1
_SETTLE_S: Final = 0.1
_OLD_VERSION: Final = 2
_NEW_VERSION: Final = 3


def _start(context: Any, *, is_strict: bool) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.pair = context.loop.run_until_complete(_build(is_strict))
    configuration = build_workspace_configuration(_OLD_VERSION, ['k1'])
    for world in (context.pair.origin, context.pair.relay):
        world.services.configuration.activate(configuration)
    primary = context.pair.origin.fakes['p']
    primary.is_silent = True
    primary.connect_delay_s = _CONNECT_DELAY_S
    context.session = open_keyed_session(context.pair.origin, 'k1')


async def _build(is_strict: bool) -> RelayingPair:
    pair = build_pair(
        build_route(timeout_ms=_TIMEOUT_MS), is_revocation_strict=is_strict
    )
    await pair.relay.probe.ask(pair.relay.group, pair.relay.group.members['p'])
    return pair


def _close(context: Any) -> None:
    context.loop.run_until_complete(_stop_all(context))
    context.loop.close()


async def _stop_all(context: Any) -> None:
    context.pair.server.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@given('two hosts with key k1, of which the second reaches the primary')
def build_hosts(context: Any) -> None:
    """Build two hosts with the same configuration."""
    _start(context, is_strict=False)


@given(
    'two hosts with key k1, of which the second reaches the primary strictly'
)
def build_strict_hosts(context: Any) -> None:
    """Build two hosts, the second with strict revocation."""
    _start(context, is_strict=True)


@when('the second host has a newer version with {change}')
def change_second(context: Any, change: str) -> None:
    """Put a newer version in force at the second host only."""
    active = context.pair.relay.services.configuration
    assert active.activate(_build_newer(change))


def _build_newer(change: str) -> Configuration:
    word, _, key = change.partition(' ')
    configuration = build_workspace_configuration(
        _NEW_VERSION, [key if word == 'key' else 'k1']
    )
    match change:
        case 'no route':
            return attrs.evolve(configuration, routes={})
        case 'another group':
            route = attrs.evolve(configuration.routes[DATABASE], group='other')
            return attrs.evolve(configuration, routes={DATABASE: route})
        case _:
            return configuration


@then('the second host has rolled the transaction back')
def check_rolled_back(context: Any) -> None:
    """Check that no transaction is open and the primary rolled back last."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    assert not context.pair.handler.open_count
    runs = context.pair.relay.fakes['p'].executed_statements
    assert runs[-1] == 'ROLLBACK', runs


@given('a route that changed its priority from {old:d} to {new:d}')
def build_versions(context: Any, old: int, new: int) -> None:
    """Build two versions of the configuration, and work of each."""
    context.by_version = {
        _OLD_VERSION: _build_with_priority(_OLD_VERSION, old),
        _NEW_VERSION: _build_with_priority(_NEW_VERSION, new),
    }


def _build_with_priority(version: int, priority: int) -> Configuration:
    configuration = build_workspace_configuration(version, ['k1'])
    route = attrs.evolve(configuration.routes[DATABASE], priority=priority)
    return attrs.evolve(configuration, routes={DATABASE: route})


@then(
    'work of the {age} version has priority {priority:d} at a host with the '
    '{other} one'
)
def check_priority(context: Any, age: str, priority: int, other: str) -> None:
    """Renew work of one version at a host that has the other version."""
    versions = {'older': _OLD_VERSION, 'newer': _NEW_VERSION}
    active = ActiveConfiguration()
    active.activate(context.by_version[versions[other]])
    work = build_work(build_world().group, 'k1', versions[age])
    renewed = renew_work(work, active)
    assert isinstance(renewed, Work), renewed
    assert renewed.route.priority == priority, renewed
    assert renewed.group.name == GROUP
    newest = max(versions[other], versions[age])
    assert renewed.configuration_version == newest, renewed


@then(
    'work without the fields of workspaces has none, and is anonymous if said'
)
def check_old_work(context: Any) -> None:
    """Decode work as a host of an earlier version of the product sends it."""
    world = build_world()
    now_s = boot_time_s()
    work = build_work(world.group, 'k1', 1)
    body = encode_work(work, now_s)
    assert 'is_anonymous' not in body['route'], body
    for name in ('workspace', 'key_digest', 'configuration_version'):
        body.pop(name)
    decoded = decode_work(body, world.directory, now_s)
    assert (decoded.workspace, decoded.key_digest) == ('', ''), decoded
    assert decoded.configuration_version == -1, decoded
    route = attrs.evolve(work.route, is_anonymous=True)
    body = encode_work(attrs.evolve(work, route=route), now_s)
    assert decode_work(body, world.directory, now_s).route == route
