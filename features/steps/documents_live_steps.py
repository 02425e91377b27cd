"""Steps of documents_live.feature."""

import asyncio
import functools
from typing import Any, Final

import attrs
from behave import given, then, when

from features.builders import gather_all
from features.live_world import LiveWorld
from loadtool.deployed_host import DeployedHost
from mimosapond.document_body import document_body

_FIRST_AGE_MS: Final = 2000
# Limit of the first round of the watch, beside other load.
_FIRST_ROUND_LIMIT_S: Final = 20


@given('documents live deployment of {count:d} hosts')
def use_deployment(context: Any, count: int) -> None:
    """Use the deployment of the feature; the first use starts it."""
    is_first = not _shared.cache_info().currsize
    world = _shared(count)
    if is_first:
        context.add_cleanup(_close, world, layer='feature')
    context.live = world
    context.seen = {}
    context.watch = world.loop.create_task(_watch(context))
    context.add_cleanup(context.watch.cancel)
    context.add_cleanup(_clear_faults, world)
    # An edit that is in force before the watch has asked each host once would
    # leave hosts without a recorded revision.
    world.wait_until(
        lambda: len(context.seen) == len(world.hosts), _FIRST_ROUND_LIMIT_S
    )
    context.revision = world.run(_revision(world, world.hosts[0]))


@when('documents live edit is accepted at host {index:d}')
def edit(context: Any, index: int) -> None:
    """Apply an edit and wait for the answer."""
    answer = context.live.run(_edit(context, index, context.revision))
    assert answer['outcome'] == 'completed', answer
    assert answer['revision'] == context.revision + 1, answer
    context.revision = answer['revision']
    context.age_ms = _age_ms(context.revision, index)


@when(
    'documents live edits are sent concurrently to hosts '
    '{first:d} and {second:d}'
)
def edit_concurrently(context: Any, first: int, second: int) -> None:
    """Apply two edits of the same revision concurrently."""
    world: LiveWorld = context.live
    calls = (
        _edit(context, index, context.revision) for index in (first, second)
    )
    answers = world.run(gather_all(*calls))
    context.answers = dict(zip((first, second), answers, strict=True))


@then('documents live one edit is completed and one is "{reason}"')
def check_concurrent_edits(context: Any, reason: str) -> None:
    """Check both answers and expect the accepted edit from now on."""
    results = {
        index: answer.get('reason', answer['outcome'])
        for index, answer in context.answers.items()
    }
    assert sorted(results.values()) == sorted(['completed', reason]), results
    accepted = next(index for index in results if results[index] != reason)
    context.revision += 1
    context.age_ms = _age_ms(context.revision, accepted)


@when('documents live platform goes down')
def stop_platform(context: Any) -> None:
    """Answer every call to the platform with an error."""
    world: LiveWorld = context.live
    world.run(world.deployment.set_platform_faults(down=True))


@when('documents live platform loses its next answer')
def lose_answer(context: Any) -> None:
    """Let the next write take effect without an answer."""
    world: LiveWorld = context.live
    world.run(world.deployment.set_platform_faults(lose_answers=1))


@when('documents live host {index:d} is killed and started again')
def restart(context: Any, index: int) -> None:
    """Kill a host and start a new process with the same settings."""
    world: LiveWorld = context.live
    host = world.hosts[index]
    context.seen.pop(host.name, None)
    world.run(world.deployment.processes.children[host.name].kill())
    world.run(world.deployment.start_host(host))


@then('documents live edit is in force on all hosts within {limit_s:d} s')
def check_in_force(context: Any, limit_s: int) -> None:
    """Wait until each host has the revision and its content."""
    world: LiveWorld = context.live
    expected = (context.revision, context.age_ms)
    world.wait_until(
        lambda: world.run(_in_force(world)) == {expected},
        limit_s,
    )


@then('documents live edit is refused as "{reason}"')
def check_refused(context: Any, reason: str) -> None:
    """Apply an edit and check the reason of its refusal."""
    answer = context.live.run(_edit(context, 0, context.revision))
    assert answer.get('reason') == reason, answer


@then('documents live revisions never decreased')
def check_never_reverted(context: Any) -> None:
    """Check the order of the revisions that each host reported."""
    assert len(context.seen) == len(context.live.hosts), context.seen
    for name, revisions in context.seen.items():
        assert revisions == sorted(revisions), (name, revisions)


@functools.cache
def _shared(host_count: int) -> LiveWorld:
    """Return the deployment of all scenarios, so that it starts only once."""
    return LiveWorld(host_count)


def _close(world: LiveWorld) -> None:
    _shared.cache_clear()
    world.close()


def _clear_faults(world: LiveWorld) -> None:
    world.run(
        world.deployment.set_platform_faults(down=False, lose_answers=0),
    )


def _age_ms(revision: int, index: int) -> int:
    """Return a maximum age that identifies the edit."""
    return _FIRST_AGE_MS + 10 * revision + index


async def _edit(context: Any, index: int, expected_revision: int) -> Any:
    world: LiveWorld = context.live
    document = world.deployment.document
    age_ms = _age_ms(expected_revision + 1, index)
    edited = attrs.evolve(
        document,
        promises=tuple(
            attrs.evolve(promise, max_age_ms=age_ms)
            for promise in document.promises
        ),
    )
    return await world.deployment.operate(
        world.hosts[index],
        'PUT',
        f'/v1/documents/{document.service}',
        {
            'expected_revision': expected_revision,
            'document': document_body(edited),
        },
    )


async def _document(world: LiveWorld, host: DeployedHost) -> Any:
    path = f'/v1/documents/{world.deployment.spec.service}'
    return await world.deployment.operate(host, 'GET', path)


async def _revision(world: LiveWorld, host: DeployedHost) -> int:
    answer = await _document(world, host)
    return int(answer.get('revision', 0))


async def _in_force(world: LiveWorld) -> set[tuple[int, int]]:
    answers = await gather_all(
        *(_document(world, host) for host in world.hosts)
    )
    return {
        (answer['revision'], answer['document']['promises'][0]['max_age_ms'])
        if 'revision' in answer
        else (0, 0)
        for answer in answers
    }


async def _watch(context: Any) -> None:
    """Record the revisions that each host reports, in order."""
    world: LiveWorld = context.live
    seen = context.seen
    while True:
        for host in world.hosts:
            revision = await _revision(world, host)
            seen.setdefault(host.name, []).append(revision)
        await asyncio.sleep(0.02)
