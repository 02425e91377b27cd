"""Steps of shared_state.feature."""

import asyncio
import json
from collections.abc import Iterator
from typing import Any, Final

import attrs
from behave import given, then, when

from features.group_builders import GROUP, build_record
from features.shared_state_builders import (
    SharingPair,
    build_records,
    build_sharing_pair,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.peers.shared_state import SharedState
from mimosapond.peers.shared_state_codec import decode_state, encode_state

_SETTLE_S: Final = 0.2
# Longer than the wait of a request that is under way and that of the next one.
_LOSS_S: Final = 4.0
_APPLY_S: Final = 3.0


def _names(text: str) -> list[str]:
    return text.replace(',', ' and').split(' and ')


def _run(context: Any) -> SharingPair:
    """Run the follower while the reader does what the steps said."""
    if context.pair is None:
        context.pair = asyncio.run(_play(context.actions))
    pair: SharingPair = context.pair
    return pair


async def _play(actions: list[Any]) -> SharingPair:
    pair = build_sharing_pair()
    following = asyncio.create_task(pair.follower.run())
    for action in actions:
        wait_s = action(pair)
        await asyncio.sleep(wait_s or _SETTLE_S)
    following.cancel()
    pair.server.stop()
    return pair


@given('a reader of the store and a host that follows it')
def follow(context: Any) -> None:
    """Start without registrations."""
    context.pair = None
    context.actions = []


@given('the host has read the registrations of {names} itself')
def read_itself(context: Any, names: str) -> None:
    """Read registrations at the host that follows."""
    records = build_records(*_names(names))
    context.actions.append(lambda pair: pair.own.apply_registrations(records))


@when('the reader reads the registrations of {names} just after an outage')
def read_after_outage(context: Any, names: str) -> None:
    """Read registrations of which some may have lapsed."""
    context.actions.append(lambda pair: pair.source.record_registry_outage())
    read_now(context, names)


@when('the reader reads the registrations of {names}')
def read_now(context: Any, names: str) -> None:
    """Read registrations at the reader."""
    records = build_records(*_names(names))
    context.actions.append(
        lambda pair: pair.source.apply_registrations(records)
    )


@when('the reader read the registrations of {names} {age_s:d} s ago')
def read_earlier(context: Any, names: str, age_s: int) -> None:
    """Let the reader have registrations of some age."""
    records = build_records(*_names(names))
    context.actions.append(
        lambda pair: pair.source.apply_registrations(
            records, boot_time_s() - age_s
        )
    )


@when('the source of configurations answers the reader')
def answer_reader(context: Any) -> None:
    """Record an answer of the source at the reader."""
    context.actions.append(_record_answer)


def _record_answer(pair: SharingPair) -> None:
    pair.contact.record_call()
    pair.contact.record_answer()


@when('the source of configurations does not answer the reader')
def fail_reader(context: Any) -> None:
    """Record a call of the reader without an answer."""
    context.actions.append(lambda pair: pair.contact.record_failure())


@then('the host leaves the source of configurations to the reader')
def check_covered(context: Any) -> None:
    """Check that the configuration is covered by the reader."""
    pair = _run(context)
    assert pair.follower.covers_configuration(_APPLY_S)


@when('the reader stops answering')
def stop_reader(context: Any) -> None:
    """Make the reader hold back its answers."""
    context.actions.append(_stop_answers)


def _stop_answers(pair: SharingPair) -> float:
    pair.publisher.wait_for_state = _wait_for_ever  # type: ignore
    return _LOSS_S


async def _wait_for_ever(*_known: object) -> Any:
    await asyncio.Event().wait()


@then('the host knows the members {names}')
def check_members(context: Any, names: str) -> None:
    """Check the members that the host lists."""
    listed = {
        name
        for name, member in _members(_run(context))
        if member.unlisted_since_s is None
    }
    assert listed == set(_names(names)), listed


def _members(pair: SharingPair) -> Iterator[tuple[str, Any]]:
    yield from pair.own.groups[GROUP].members.items()


@then('the host leaves reading to the reader')
def check_following(context: Any) -> None:
    """Check that the host does not read the store."""
    assert _run(context).follower.is_following


@then('the host reads the store itself')
def check_alone(context: Any) -> None:
    """Check that the host does not rely on the reader any more."""
    assert not _run(context).follower.is_following


@then('the host takes the registrations as at least {age_s:d} s old')
def check_age(context: Any, age_s: int) -> None:
    """Check the time of the read as the host knows it."""
    pair = _run(context)
    assert not pair.own.is_read_within(age_s), pair.own.read_s


@then('no member is unlisted at the host')
def check_listed(context: Any) -> None:
    """Check that no member counts as gone."""
    for name, member in _members(_run(context)):
        assert member.unlisted_since_s is None, name


@then('the host follows the source of configurations itself')
def check_source(context: Any) -> None:
    """Check that the configuration is not covered by the reader."""
    pair = _run(context)
    assert pair.follower.is_following
    assert not pair.follower.covers_configuration(_APPLY_S)


@then(
    'a registration with {slots:d} slots and a warm-up of {warm_up:g} ms is '
    'handed on whole'
)
def check_whole(context: Any, slots: int, warm_up: float) -> None:
    """Check that a registration is the same after it was handed on."""
    left_ms = int(warm_up) if warm_up.is_integer() else warm_up
    record = attrs.evolve(
        build_record('p'), slot_count=slots, warm_up_left_ms=left_ms
    )
    state = SharedState(1, 0, 0, 0, 'digest', (record,))
    body = json.loads(json.dumps(encode_state(state, 0)))
    assert decode_state(body, 0) == state, body


@then('the body {body} is no state')
def check_unreadable(context: Any, body: str) -> None:
    """Check that decoding fails with an error that callers expect."""
    try:
        state = decode_state(json.loads(body), 0)
    except (KeyError, TypeError, ValueError):
        return
    raise AssertionError(state)
