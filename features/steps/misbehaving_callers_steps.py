"""Steps of misbehaving_callers.feature."""

import asyncio
import pathlib
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import attrs
from behave import given, then, when

from features.misbehaving_builders import HostUsage, MisbehavingWorld

_KIB_PER_MIB: Final = 1024


@final
@attrs.frozen
class _Outcome:
    is_served: bool
    usages: tuple[HostUsage, ...]
    has_few_descriptors: bool = True


@given('{count:d} host with the settings {settings}')
@given('{count:d} hosts with the settings {settings}')
def plan_world(context: Any, count: int, settings: str) -> None:
    """Note what the deployment consists of; ``_run`` starts it."""
    fields = settings.replace(' and ', ', ').split(', ')
    context.settings = ''.join(
        f'{field.replace(" ", ": ")}\n' for field in fields
    )
    context.host_count = count
    context.is_cut = False
    context.manner = ''


@given('the first host is cut off from the members')
def plan_cut(context: Any) -> None:
    """Note that the first host has to pass requests on."""
    context.is_cut = True


@when('{count:d} misbehaving callers {manner}')
def plan_crowd(context: Any, count: int, manner: str) -> None:
    """Note the crowd."""
    context.count = count
    context.manner = manner


@then('each host lives, with at most {mib:d} MiB and {count:d} descriptors')
def check_bounds(context: Any, mib: int, count: int) -> None:
    """Check memory and descriptors while the crowd is connected."""
    _run(context, _serve_beside_crowd)
    for usage in context.outcome.usages:
        assert usage.peak_kib <= mib * _KIB_PER_MIB, context.outcome
        assert usage.descriptor_count <= count, context.outcome


@then('each host comes to have at most {count:d} descriptors')
def check_closed(context: Any, count: int) -> None:
    """Check that the connections of the crowd end."""
    _run(context, lambda world: _close_crowd(world, count))
    assert context.outcome.has_few_descriptors, context.outcome


@then('another caller is served')
def check_served(context: Any) -> None:
    """Check what the request that followed the crowd got."""
    assert context.outcome.is_served, context.outcome


@then('a single caller that {request} is served')
def check_single(context: Any, request: str) -> None:
    """Check a single large request in calm."""
    _run(context, lambda world: _serve_large(world, request))
    assert context.outcome.is_served, context.outcome


async def _serve_beside_crowd(world: MisbehavingWorld) -> _Outcome:
    is_served = await world.is_first_served()
    return _Outcome(is_served, tuple(world.usages()))


async def _close_crowd(world: MisbehavingWorld, count: int) -> _Outcome:
    is_closed = await world.lose_descriptors(count)
    is_served = await world.is_first_served()
    return _Outcome(is_served, tuple(world.usages()), is_closed)


async def _serve_large(world: MisbehavingWorld, request: str) -> _Outcome:
    is_served = await world.is_large_served(request)
    return _Outcome(is_served, tuple(world.usages()))


def _run(
    context: Any, check: Callable[[MisbehavingWorld], Awaitable[_Outcome]]
) -> None:
    """Start the deployment, run the crowd if there is one, and check."""
    asyncio.run(_run_in_loop(context, check))


async def _run_in_loop(
    context: Any, check: Callable[[MisbehavingWorld], Awaitable[_Outcome]]
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        world = MisbehavingWorld(
            pathlib.Path(folder), context.host_count, context.settings
        )
        try:
            await world.start()
            if context.is_cut:
                await world.cut_from_members()
            if context.manner:
                await world.run_crowd(context.count, context.manner)
            context.outcome = await check(world)
        finally:
            await world.close()
