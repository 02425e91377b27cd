"""Steps of targets.feature."""

import asyncio
import json
from typing import Any, Final

from behave import then, when

from features.standins_fakes import TIMEOUT_S, StandinRig
from mimosapond.address_translator import AddressTranslator
from mimosapond.member_address import MemberAddress
from mimosapond.standing import Standing
from mimosapond.statement import Statement
from mimosapond.target_results import TargetAnswered, TargetSilent
from mimosapond.websocket_connection import WebsocketConnection
from mimosapond.websocket_target import WebsocketTarget

_TURN_S: Final = 0.0001
_POLL_COUNT: Final = 20
_POLL_INTERVAL_S: Final = 0.1
_READ: Final = Statement('SELECT count(*) FROM tally')


@when('targets open a connection to "{name}" at the address of "{member}"')
def open_connection(context: Any, name: str, member: str) -> None:
    """Open a data connection to the member at an address."""
    rig: StandinRig = context.rig
    context.target = WebsocketTarget(TIMEOUT_S, AddressTranslator(()))
    context.add_cleanup(_close, rig, context.target)
    context.opened = rig.run(
        context.target.connect(_address(rig, name, member), TIMEOUT_S),
    )


@then('targets got {connection} that reads as "{name}"')
def check_connection(context: Any, connection: str, name: str) -> None:
    """Check that only a connection to the named member serves reads."""
    if connection == 'no connection':
        assert isinstance(context.opened, TargetSilent), context.opened
        assert not context.opened.sent, context.opened
        return
    answer = context.rig.run(context.opened.read((_READ,), TIMEOUT_S))
    context.opened.close()
    assert isinstance(answer, TargetAnswered), answer
    assert answer.standing.member == name, answer


@then('targets got {standing} of "{name}" at the address of "{member}"')
def check_standing(context: Any, standing: str, name: str, member: str) -> None:
    """Check the answer to a control call."""
    rig: StandinRig = context.rig
    answer = rig.run(
        context.target.status(_address(rig, name, member), TIMEOUT_S),
    )
    expected = Standing if standing == 'a standing' else TargetSilent
    assert isinstance(answer, expected), answer


@when(
    'targets cancel the opening of a connection to "{name}" at {count:d} places'
)
def cancel_openings(context: Any, name: str, count: int) -> None:
    """Cancel each opening one turn later than the previous one."""
    rig: StandinRig = context.rig
    target = WebsocketTarget(TIMEOUT_S, AddressTranslator(()))
    context.add_cleanup(_close, rig, target)
    for turns in range(count):
        rig.run(_cancel(target, _address(rig, name, name), turns))


@then('targets have no connection open to "{name}"')
def check_none_open(context: Any, name: str) -> None:
    """Poll the member until all its connections have closed."""
    rig: StandinRig = context.rig
    open_count = rig.run(_open_count(rig, rig.addresses[name]))
    assert not open_count, open_count


async def _cancel(
    target: WebsocketTarget,
    member: MemberAddress,
    turns: int,
) -> None:
    opening = asyncio.create_task(target.connect(member, TIMEOUT_S))
    for turn in range(turns):
        # Gives the member time to answer between the turns.
        await asyncio.sleep(turn * _TURN_S)
    opening.cancel()
    ended = await asyncio.gather(opening, return_exceptions=True)
    if isinstance(ended[0], WebsocketConnection):
        ended[0].close()


async def _open_count(rig: StandinRig, address: str) -> int:
    open_count = 0
    for _ in range(_POLL_COUNT):
        answer = await rig.fetch(address, '/admin/log')
        open_count = json.loads(answer.body)['counters']['connection_count']
        if not open_count:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    return open_count


def _address(rig: StandinRig, name: str, member: str) -> MemberAddress:
    return MemberAddress(name, 'dc-1', rig.addresses[member])


def _close(rig: StandinRig, target: WebsocketTarget) -> None:
    rig.run(_close_links(target))


async def _close_links(target: WebsocketTarget) -> None:
    target.close()
