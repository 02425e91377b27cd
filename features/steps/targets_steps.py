"""Steps of targets.feature."""

from typing import Any, Final

from behave import then, when

from features.standins_fakes import PATIENT_S, StandinRig
from mimosapond.address_book import AddressBook
from mimosapond.member_address import MemberAddress
from mimosapond.standing import Standing
from mimosapond.statement import Statement
from mimosapond.target_results import TargetAnswered, TargetSilent
from mimosapond.websocket_target import WebsocketTarget

_READ: Final = Statement('SELECT count(*) FROM tally')


@when('targets open a connection to "{name}" at the address of "{member}"')
def open_connection(context: Any, name: str, member: str) -> None:
    """Connect as the owner of the member does."""
    rig: StandinRig = context.rig
    context.target = WebsocketTarget(PATIENT_S, AddressBook(()))
    context.add_cleanup(_close, rig, context.target)
    context.opened = rig.run(
        context.target.connect(_address(rig, name, member), PATIENT_S),
    )


@then('targets got {connection} that reads as "{name}"')
def check_connection(context: Any, connection: str, name: str) -> None:
    """A connection of the member itself serves reads."""
    if connection == 'no connection':
        assert isinstance(context.opened, TargetSilent), context.opened
        assert not context.opened.sent, context.opened
        return
    answer = context.rig.run(context.opened.read((_READ,), PATIENT_S))
    context.opened.close()
    assert isinstance(answer, TargetAnswered), answer
    assert answer.standing.member == name, answer


@then('targets got {standing} of "{name}" at the address of "{member}"')
def check_standing(context: Any, standing: str, name: str, member: str) -> None:
    """Make a control call."""
    rig: StandinRig = context.rig
    answer = rig.run(
        context.target.status(_address(rig, name, member), PATIENT_S),
    )
    expected = Standing if standing == 'a standing' else TargetSilent
    assert isinstance(answer, expected), answer


def _address(rig: StandinRig, name: str, member: str) -> MemberAddress:
    return MemberAddress(name, 'dc-1', rig.addresses[member])


def _close(rig: StandinRig, target: WebsocketTarget) -> None:
    rig.run(_close_links(target))


async def _close_links(target: WebsocketTarget) -> None:
    target.close()
